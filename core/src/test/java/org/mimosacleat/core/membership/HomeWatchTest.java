package org.mimosacleat.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;

class HomeWatchTest {
  private static final VmId HOME = new VmId("home");
  private static final AvailabilityZone OWN_ZONE = new AvailabilityZone("tamaki");
  private static final AvailabilityZone OTHER_ZONE = new AvailabilityZone("kirikiriroa");
  private static final Duration SILENCE = HomeWatchTimes.STANDARD.silence();

  private final PausedClock clock = new PausedClock();
  private final HomeWatch watch = new HomeWatch(HOME, OWN_ZONE, 2, clock, HomeWatchTimes.STANDARD);

  @Test
  void homeIsLostOnceMonitorsInTwoZonesReportSilence() {
    List<HomeWatchAction> actions = runWithoutMessages();
    assertEquals(List.of(new HomeWatchAction.AskWatchers(HOME)), actions);
    assertEquals(List.of(), answer(OWN_ZONE, SILENCE), "a second monitor in the same zone");
    assertEquals(
        List.of(),
        answer(OTHER_ZONE, SILENCE.minusMillis(1)),
        "a monitor that received a message more recently");

    assertEquals(
        List.of(new HomeWatchAction.HomeLost(HOME, Set.of(OWN_ZONE, OTHER_ZONE))),
        answer(OTHER_ZONE, SILENCE));
  }

  @Test
  void homeIsNotLostIfItsMessageArrivesBeforeTheAnswer() {
    runWithoutMessages();
    watch.step(new HomeWatchInput.Heard());

    assertEquals(List.of(), answer(OTHER_ZONE, SILENCE));
  }

  @Test
  void monitorThatWasPausedDoesNotQueryOthers() {
    clock.advance(Duration.ofSeconds(5));

    assertEquals(List.of(), watch.step(new HomeWatchInput.Tick()));
  }

  private List<HomeWatchAction> runWithoutMessages() {
    List<HomeWatchAction> actions = List.of();
    for (int tick = 0; tick < 10; tick++) {
      clock.advance(Duration.ofMillis(50));
      actions = watch.step(new HomeWatchInput.Tick());
    }
    return actions;
  }

  private List<HomeWatchAction> answer(AvailabilityZone zone, Duration silence) {
    return watch.step(new HomeWatchInput.Answered(new VmId("monitor"), zone, silence));
  }
}

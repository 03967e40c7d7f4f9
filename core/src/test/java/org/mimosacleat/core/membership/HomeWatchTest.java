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
  private static final AvailabilityZone OWN = new AvailabilityZone("tamaki");
  private static final AvailabilityZone OTHER = new AvailabilityZone("kirikiriroa");
  private static final Duration SILENCE = HomeWatchTimes.STANDARD.silence();

  private final PausedClock clock = new PausedClock();
  private final HomeWatch watch = new HomeWatch(HOME, OWN, 2, clock, HomeWatchTimes.STANDARD);

  @Test
  void homeIsLostOnceTwoZonesMissIt() {
    List<HomeWatchAction> asked = runSilently();
    assertEquals(List.of(new HomeWatchAction.AskWatchers(HOME)), asked);
    assertEquals(List.of(), answer(OWN, SILENCE), "a second witness of the same zone");
    assertEquals(List.of(), answer(OTHER, SILENCE.minusMillis(1)), "a witness that hears it");

    assertEquals(
        List.of(new HomeWatchAction.HomeLost(HOME, Set.of(OWN, OTHER))), answer(OTHER, SILENCE));
  }

  @Test
  void homeHeardInTheMeantimeIsNotLost() {
    runSilently();
    watch.step(new HomeWatchInput.Heard());

    assertEquals(List.of(), answer(OTHER, SILENCE));
  }

  @Test
  void watcherThatWasPausedAsksNobody() {
    clock.advance(Duration.ofSeconds(5));

    assertEquals(List.of(), watch.step(new HomeWatchInput.Tick()));
  }

  private List<HomeWatchAction> runSilently() {
    List<HomeWatchAction> actions = List.of();
    for (int tick = 0; tick < 10; tick++) {
      clock.advance(Duration.ofMillis(50));
      actions = watch.step(new HomeWatchInput.Tick());
    }
    return actions;
  }

  private List<HomeWatchAction> answer(AvailabilityZone zone, Duration silence) {
    return watch.step(new HomeWatchInput.Answered(new VmId("witness"), zone, silence));
  }
}

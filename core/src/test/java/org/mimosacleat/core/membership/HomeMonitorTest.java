package org.mimosacleat.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;

class HomeMonitorTest {
  private static final VmId HOME = new VmId("home");
  private static final AvailabilityZone OWN_ZONE = new AvailabilityZone("tamaki");
  private static final AvailabilityZone OTHER_ZONE = new AvailabilityZone("kirikiriroa");
  private static final Duration SILENCE = HomeMonitorTimes.STANDARD.silenceTimeout();

  private final PausedClock clock = new PausedClock();
  private final HomeMonitor monitor =
      new HomeMonitor(HOME, OWN_ZONE, 2, clock, HomeMonitorTimes.STANDARD);

  @Test
  void homeIsLostOnceMonitorsInTwoZonesReportSilence() {
    List<HomeMonitorAction> actions = runWithoutMessages();
    assertEquals(List.of(new HomeMonitorAction.QueryMonitors(HOME)), actions);
    assertEquals(List.of(), answer(OWN_ZONE, SILENCE), "a second monitor in the same zone");
    assertEquals(
        List.of(),
        answer(OTHER_ZONE, SILENCE.minusMillis(1)),
        "a monitor that received a message more recently");

    assertEquals(
        List.of(new HomeMonitorAction.HomeLost(HOME, Set.of(OWN_ZONE, OTHER_ZONE))),
        answer(OTHER_ZONE, SILENCE));
  }

  @Test
  void homeIsNotLostIfItsMessageArrivesBeforeTheAnswer() {
    runWithoutMessages();
    monitor.step(new HomeMonitorInput.MessageReceived());

    assertEquals(List.of(), answer(OTHER_ZONE, SILENCE));
  }

  @Test
  void monitorThatWasPausedDoesNotQueryOthers() {
    clock.advance(Duration.ofSeconds(5));

    assertEquals(List.of(), monitor.step(new HomeMonitorInput.Tick()));
  }

  private List<HomeMonitorAction> runWithoutMessages() {
    List<HomeMonitorAction> actions = List.of();
    for (int tick = 0; tick < 10; tick++) {
      clock.advance(Duration.ofMillis(50));
      actions = monitor.step(new HomeMonitorInput.Tick());
    }
    return actions;
  }

  private List<HomeMonitorAction> answer(AvailabilityZone zone, Duration silence) {
    return monitor.step(new HomeMonitorInput.MonitorAnswered(new VmId("monitor"), zone, silence));
  }
}

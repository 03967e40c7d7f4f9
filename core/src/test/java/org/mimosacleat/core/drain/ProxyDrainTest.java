package org.mimosacleat.core.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.time.PausedClock;

class ProxyDrainTest {
  private static final GroupId GROUP = new GroupId("lending");
  private static final ProxyDrainTimeouts TIMEOUTS = ProxyDrainTimeouts.STANDARD;

  private final PausedClock clock = new PausedClock();
  private final ProxyDrain drain = new ProxyDrain(clock, TIMEOUTS);

  @Test
  void homesAreHandedOverBeforeAcceptingStopsAndTheProcessExits() {
    assertEquals(List.of(new ProxyDrainAction.AnnounceLeaving()), signal());
    assertEquals(List.of(new ProxyDrainAction.Hold(GROUP)), progress(4, 9));
    assertEquals(List.of(), progress(1, 9));
    assertEquals(List.of(new ProxyDrainAction.HandOver(GROUP, 0)), progress(0, 9));
    assertEquals(List.of(new ProxyDrainAction.StopAccepting()), progressWithoutHomes(9));
    assertEquals(List.of(), progressWithoutHomes(1));
    assertEquals(
        List.of(new ProxyDrainAction.Exit("all work is finished", 0)), progressWithoutHomes(0));
  }

  @Test
  void longTransactionIsNotCutOffAndHeldWorkIsReleased() {
    signal();
    progress(1, 0);
    clock.advance(TIMEOUTS.holdTimeout());

    assertEquals(List.of(new ProxyDrainAction.Release(GROUP)), progress(1, 0));
    clock.advance(TIMEOUTS.retryDelay());
    assertEquals(List.of(new ProxyDrainAction.Hold(GROUP)), progress(3, 0));
    assertEquals(List.of(new ProxyDrainAction.HandOver(GROUP, 0)), progress(0, 0));
  }

  @Test
  void timeoutsForceHandOverAndExit() {
    signal();
    clock.advance(TIMEOUTS.handOverTimeout());
    assertEquals(List.of(new ProxyDrainAction.HandOver(GROUP, 2)), progress(2, 5));
    clock.advance(TIMEOUTS.exitTimeout().minus(TIMEOUTS.handOverTimeout()));

    assertEquals(
        List.of(
            new ProxyDrainAction.StopAccepting(), new ProxyDrainAction.Exit("deadline of 30 s", 5)),
        progressWithoutHomes(5));
  }

  @Test
  void secondSignalExitsImmediatelyAndReportsTheWorkCutOff() {
    signal();
    progress(2, 5);

    assertEquals(List.of(new ProxyDrainAction.Exit("second signal", 7)), signal());
    clock.advance(Duration.ofMinutes(1));
    assertEquals(List.of(), progress(2, 5));
  }

  private List<ProxyDrainAction> signal() {
    return drain.step(new ProxyDrainInput.Signal());
  }

  private List<ProxyDrainAction> progress(int homeWorkInFlight, int requests) {
    return drain.step(new ProxyDrainInput.Progress(Map.of(GROUP, homeWorkInFlight), requests));
  }

  private List<ProxyDrainAction> progressWithoutHomes(int requests) {
    return drain.step(new ProxyDrainInput.Progress(Map.of(), requests));
  }
}

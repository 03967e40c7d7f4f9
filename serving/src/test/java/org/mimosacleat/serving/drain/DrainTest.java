package org.mimosacleat.serving.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.time.PausedClock;

class DrainTest {
  private static final Duration READINESS_DELAY = Duration.ofMillis(2_300);
  private static final Duration GRACE = Duration.ofSeconds(6);

  private final PausedClock clock = new PausedClock();
  private final Instant start = clock.instant();
  private final ClientChannels channels = new ClientChannels();
  private final FakeRelayedWork relayed = new FakeRelayedWork();
  private final DrainProgress progress =
      new DrainProgress(clock, new DrainTimes(READINESS_DELAY, GRACE));
  private final List<Runnable> steps = new ArrayList<>();
  private final Drain drain =
      new Drain(
          progress,
          channels,
          relayed,
          Runnable::run,
          duration -> {
            clock.advance(duration);
            steps.forEach(Runnable::run);
          });

  private Duration elapsed() {
    return Duration.between(start, clock.instant());
  }

  @Test
  void idleProxyServesUntilNoClientsAreExpected() {
    drain.run(() -> {});

    assertEquals(READINESS_DELAY, elapsed());
  }

  @Test
  void sessionsAreKeptUntilNoClientsAreExpected() {
    FakeChannel channel = new FakeChannel(channels);
    channel.idle = true;
    steps.add(
        () -> assertEquals(elapsed().compareTo(READINESS_DELAY) <= 0 ? 1 : 0, channels.count()));

    drain.run(() -> {});

    assertFalse(channel.ended);
  }

  /** Guards against all clients of a proxy connecting to the others at the same moment. */
  @Test
  void idleSessionsAreClosedOneAfterTheOther() {
    for (int index = 0; index < 160; index++) {
      FakeChannel channel = new FakeChannel(channels);
      channel.idle = true;
    }
    List<Integer> open = new ArrayList<>();
    steps.add(() -> open.add(channels.count()));

    drain.run(() -> {});

    assertTrue(open.contains(140), "open after each check: " + open);
    assertEquals(0, open.getLast());
    assertTrue(elapsed().compareTo(GRACE.dividedBy(2)) < 0, "ended after " + elapsed());
  }

  /** Guards against a process that exits at its deadline while requests run unanswered. */
  @Test
  void requestThatRunsAtTheDeadlineIsEndedWithAnAnswer() {
    FakeChannel channel = new FakeChannel(channels);

    drain.run(() -> {});

    assertTrue(channel.ended);
    assertEquals(0, channels.count());
    assertTrue(elapsed().compareTo(GRACE) < 0, "ended after " + elapsed());
  }

  /** Guards against a request that arrives between the last check and the exit of the process. */
  @Test
  void connectionAcceptedAtTheLastMomentIsServed() {
    drain.run(
        () -> {
          FakeChannel late = new FakeChannel(channels);
          Instant served = clock.instant().plusMillis(400);
          steps.add(() -> late.idle = !clock.instant().isBefore(served));
        });

    assertEquals(0, channels.count());
    assertTrue(elapsed().compareTo(READINESS_DELAY.plusMillis(400)) >= 0, "after " + elapsed());
  }

  @Test
  void answerThatIsBeingSentIsWaitedFor() {
    FakeChannel channel = new FakeChannel(channels);
    channel.answering = true;
    steps.add(
        () -> {
          if (elapsed().compareTo(Duration.ofMillis(5_200)) >= 0) {
            channels.remove(channel);
          }
        });

    drain.run(() -> {});

    assertEquals(Duration.ofMillis(5_200), elapsed());
  }

  @Test
  void clientThatDoesNotReadItsAnswerDoesNotDelayTheExit() {
    FakeChannel channel = new FakeChannel(channels);
    channel.answering = true;

    drain.run(() -> {});

    assertTrue(elapsed().compareTo(GRACE) < 0, "ended after " + elapsed());
  }

  @Test
  void waitsForWorkOfOtherProxies() {
    relayed.unfinished = 1;
    steps.add(() -> relayed.unfinished = elapsed().toMillis() < 4_000 ? 1 : 0);

    drain.run(() -> {});

    assertTrue(relayed.refusesNew);
    assertEquals(Duration.ofSeconds(4), elapsed());
  }

  /** The statements and transactions of other proxies, as a test sets them. */
  private static final class FakeRelayedWork implements RelayedWork {
    private boolean refusesNew;
    private int unfinished;

    @Override
    public void refuseNew() {
      refusesNew = true;
    }

    @Override
    public int unfinished() {
      return unfinished;
    }
  }
}

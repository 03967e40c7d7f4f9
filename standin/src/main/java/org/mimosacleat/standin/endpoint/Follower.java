package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * Keeps a replica receiving and replaying, each after its lag. It runs in a thread of its own and
 * reads its upstream's log in memory.
 */
final class Follower implements Runnable {
  private static final Duration IDLE_WAIT = Duration.ofMillis(20);
  private static final Duration LONGEST_WAIT_FOR_DUE = Duration.ofMillis(2);

  private final InstanceState state;
  private final ReplicationDirectory directory;
  private final BooleanSupplier connected;
  private final EndpointSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private volatile Thread thread;
  private volatile boolean stopped;
  private LogRecord scheduled;
  private Instant scheduledDue = Instant.EPOCH;
  private Instant lastReplayDue = Instant.EPOCH;

  Follower(
      InstanceState state,
      ReplicationDirectory directory,
      BooleanSupplier connected,
      EndpointSettings settings,
      InstantSource clock,
      RandomGenerator random) {
    this.state = state;
    this.directory = directory;
    this.connected = connected;
    this.settings = settings;
    this.clock = clock;
    this.random = random;
  }

  @Override
  public void run() {
    thread = Thread.currentThread();
    while (!stopped) {
      Instant now = clock.instant();
      boolean waiting = step(now);
      LockSupport.parkNanos(waitNanoseconds(now, waiting));
    }
  }

  void wake() {
    LockSupport.unpark(thread);
  }

  void stop() {
    stopped = true;
    wake();
  }

  /** Receives and replays what is due, and tells whether a record waits for its time. */
  private boolean step(Instant now) {
    if (!connected.getAsBoolean()) {
      return false;
    }
    boolean waiting = receiveDue(now);
    state.replayUntil(now);
    return waiting;
  }

  private boolean receiveDue(Instant now) {
    String from = state.upstream();
    Optional<InstanceState> upstream = directory.find(from);
    if (!state.isReplica() || upstream.isEmpty() || !adopt(upstream.get())) {
      return false;
    }
    List<LogRecord> missing = upstream.get().recordsAfter(state.lastRecord());
    if (missing.isEmpty()) {
      return false;
    }
    Term senderTerm = missing.getLast().position().term();
    for (LogRecord record : missing) {
      if (dueTime(record).isAfter(now)) {
        return true;
      }
      Instant replayDue = now.plus(settings.replayLag().draw(random));
      lastReplayDue = replayDue.isAfter(lastReplayDue) ? replayDue : lastReplayDue;
      if (!state.receive(record, lastReplayDue, from, senderTerm)) {
        return false;
      }
    }
    return false;
  }

  /** Makes the own log a prefix of the upstream's, and tells whether it is one. */
  private boolean adopt(InstanceState upstream) {
    LogRecord own = state.lastRecord();
    if (upstream.contains(own)) {
      return true;
    }
    Position position = upstream.lastRecord().position();
    boolean fenced = state.fence().filter(term -> term.isAfter(position.term())).isPresent();
    if (fenced || !position.term().isAfter(own.position().term())) {
      return false;
    }
    state.rewindTo(upstream.logCopy());
    return true;
  }

  private Instant dueTime(LogRecord record) {
    if (scheduled != record) {
      Instant due = record.committedAt().plus(settings.receiveLag().draw(random));
      scheduledDue = due.isAfter(scheduledDue) ? due : scheduledDue;
      scheduled = record;
    }
    return scheduledDue;
  }

  private long waitNanoseconds(Instant now, boolean waitingForReceipt) {
    Optional<Instant> replay = state.nextReplay();
    if (!waitingForReceipt && replay.isEmpty()) {
      return IDLE_WAIT.toNanos();
    }
    Instant due = waitingForReceipt ? scheduledDue : replay.get();
    if (waitingForReceipt && replay.isPresent() && replay.get().isBefore(due)) {
      due = replay.get();
    }
    long untilDue = Math.max(1, Duration.between(now, due).toNanos());
    return Math.min(untilDue, LONGEST_WAIT_FOR_DUE.toNanos());
  }
}

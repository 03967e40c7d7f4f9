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
 * Receives and replays log records on a replica, after the configured lags. It runs in its own
 * thread and reads the log of its upstream instance from memory.
 */
final class Replicator implements Runnable {
  private static final Duration IDLE_WAIT = Duration.ofMillis(20);
  private static final Duration MAX_WAIT = Duration.ofMillis(2);

  private final InstanceState state;
  private final ReplicationDirectory directory;
  private final BooleanSupplier canReplicate;
  private final EndpointSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private volatile Thread thread;
  private volatile boolean stopped;
  private LogRecord scheduledRecord;
  private Instant scheduledReceiveTime = Instant.EPOCH;
  private Instant lastReplayTime = Instant.EPOCH;

  Replicator(
      InstanceState state,
      ReplicationDirectory directory,
      BooleanSupplier canReplicate,
      EndpointSettings settings,
      InstantSource clock,
      RandomGenerator random) {
    this.state = state;
    this.directory = directory;
    this.canReplicate = canReplicate;
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

  /** Receives and replays the due records; returns whether another record waits to be received. */
  private boolean step(Instant now) {
    if (!canReplicate.getAsBoolean()) {
      return false;
    }
    boolean waiting = receiveDue(now);
    state.replayUntil(now);
    return waiting;
  }

  private boolean receiveDue(Instant now) {
    String connectionInfo = state.upstream();
    Optional<InstanceState> upstream = directory.find(connectionInfo);
    if (!state.isReplica() || upstream.isEmpty() || !alignWithUpstream(upstream.get())) {
      return false;
    }
    List<LogRecord> missing = upstream.get().recordsAfter(state.lastRecord());
    if (missing.isEmpty()) {
      return false;
    }
    Term senderTerm = missing.getLast().position().term();
    for (LogRecord record : missing) {
      if (receiveTime(record).isAfter(now)) {
        return true;
      }
      Instant replayTime = now.plus(settings.replayLag().sample(random));
      lastReplayTime = replayTime.isAfter(lastReplayTime) ? replayTime : lastReplayTime;
      if (!state.receive(record, lastReplayTime, connectionInfo, senderTerm)) {
        return false;
      }
    }
    return false;
  }

  /**
   * Rewinds the own log to a prefix of the upstream's log if the two have diverged and the upstream
   * has a later term that the fence allows. Returns whether the own log is such a prefix.
   */
  private boolean alignWithUpstream(InstanceState upstream) {
    LogRecord lastOwnRecord = state.lastRecord();
    if (upstream.contains(lastOwnRecord)) {
      return true;
    }
    Position position = upstream.lastRecord().position();
    boolean fenced = state.fence().filter(term -> term.isAfter(position.term())).isPresent();
    if (fenced || !position.term().isAfter(lastOwnRecord.position().term())) {
      return false;
    }
    state.rewindTo(upstream.logCopy());
    return true;
  }

  private Instant receiveTime(LogRecord record) {
    if (scheduledRecord != record) {
      Instant receiveTime = record.committedAt().plus(settings.receiveLag().sample(random));
      scheduledReceiveTime =
          receiveTime.isAfter(scheduledReceiveTime) ? receiveTime : scheduledReceiveTime;
      scheduledRecord = record;
    }
    return scheduledReceiveTime;
  }

  private long waitNanoseconds(Instant now, boolean waitingForReceipt) {
    Optional<Instant> replay = state.nextReplayTime();
    if (!waitingForReceipt && replay.isEmpty()) {
      return IDLE_WAIT.toNanos();
    }
    Instant due = waitingForReceipt ? scheduledReceiveTime : replay.get();
    if (waitingForReceipt && replay.isPresent() && replay.get().isBefore(due)) {
      due = replay.get();
    }
    long untilDue = Math.max(1, Duration.between(now, due).toNanos());
    return Math.min(untilDue, MAX_WAIT.toNanos());
  }
}

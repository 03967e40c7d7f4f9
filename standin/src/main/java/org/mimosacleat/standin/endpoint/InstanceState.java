package org.mimosacleat.standin.endpoint;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * The state that an instance keeps across restarts: its log, its role and its fence. Reads of the
 * committed state take no lock.
 */
final class InstanceState {
  private static final int RECORD_BYTES = 128;

  /** All logs start with this record, so that a rewind finds a common start. */
  static final LogRecord FIRST_RECORD =
      new LogRecord(
          new Position(Term.FIRST, LogPosition.START), Instant.EPOCH, DatabaseState.EMPTY);

  private final InstantSource clock;
  private final ReentrantLock lock = new ReentrantLock();
  private final WriteAheadLog log = new WriteAheadLog(FIRST_RECORD);
  private final Deque<PendingReplay> pendingReplays = new ArrayDeque<>();
  private volatile LogRecord replayed = FIRST_RECORD;
  private volatile boolean replica;
  private volatile boolean readOnly;
  private volatile Optional<Term> fence = Optional.empty();
  private volatile HomeFence homeFence = HomeFence.NONE;
  private volatile String upstream = "";
  private String upstreamAfterReload = "";
  private long generation;
  private long commits;
  private boolean running;

  InstanceState(InstantSource clock) {
    this.clock = clock;
  }

  /** Starts a new generation; commits of earlier generations fail from now on. */
  long start() {
    return withLock(
        () -> {
          running = true;
          return ++generation;
        });
  }

  void stop() {
    withLock(() -> running = false);
  }

  long generation() {
    return withLock(() -> generation);
  }

  long commits() {
    return withLock(() -> commits);
  }

  DatabaseState committed() {
    return replayed.state();
  }

  boolean isReplica() {
    return replica;
  }

  /**
   * Returns the connection setting in force, or an empty string if the instance receives nothing.
   */
  String upstream() {
    return upstream;
  }

  Optional<Term> fence() {
    return fence;
  }

  HomeFence homeFence() {
    return homeFence;
  }

  /** Raises the lowest home token that is served; commits under lower tokens fail from now on. */
  void setHomeToken(long token) throws SqlStateException {
    lock.lock();
    try {
      homeFence = homeFence.withToken(token);
    } finally {
      lock.unlock();
    }
  }

  boolean isReadOnly() {
    return readOnly;
  }

  void setReadOnly(boolean on) {
    readOnly = on;
  }

  InstanceStatus status() {
    return withLock(
        () ->
            new InstanceStatus(
                replica,
                log.lastUpToTerm(replayed.position().term()).position(),
                replayed.position(),
                fence));
  }

  /** Fails if the instance is a replica, read-only or fenced. */
  void requireWritable(String verb) throws SqlStateException {
    boolean fenced = fence.filter(term -> term.isAfter(replayed.position().term())).isPresent();
    if (replica || readOnly || fenced) {
      throw new SqlStateException(
          SqlStateException.READ_ONLY_TRANSACTION,
          "cannot execute " + verb + " in a read-only transaction");
    }
  }

  /** Appends a commit to the log. */
  void commit(Map<String, Optional<Table>> written, FencingTokens fencingTokens)
      throws SqlStateException {
    lock.lock();
    try {
      if (!running || fencingTokens.generation() != generation) {
        throw new SqlStateException(
            SqlStateException.ADMIN_SHUTDOWN, "commit refused: the instance has stopped");
      }
      if (homeFence.rejects(fencingTokens.homeToken())) {
        throw new SqlStateException(
            SqlStateException.ADMIN_SHUTDOWN,
            "commit refused: a later home has fenced this connection");
      }
      requireWritable("COMMIT");
      append(replayed.position().term(), replayed.state().withTables(written));
      commits++;
    } finally {
      lock.unlock();
    }
  }

  /** Sets the lowest term that is served; it never decreases. */
  void setFence(Term term) throws SqlStateException {
    lock.lock();
    try {
      if (fence.filter(current -> current.isAfter(term)).isPresent()) {
        throw new SqlStateException(
            SqlStateException.INVALID_PARAMETER_VALUE,
            "mimosacleat.fence_term must not decrease from " + fence.get() + " to " + term);
      }
      fence = Optional.of(term);
    } finally {
      lock.unlock();
    }
  }

  void setUpstream(String connectionInfo) {
    withLock(() -> upstreamAfterReload = connectionInfo);
  }

  /** Applies the connection setting; a primary with a non-empty setting becomes a replica. */
  void reload() {
    withLock(
        () -> {
          upstream = upstreamAfterReload;
          replica = replica || !upstream.isEmpty();
          return replica;
        });
  }

  /** Replays all received records and starts the next term, or the fence term if it is later. */
  void promote() throws SqlStateException {
    lock.lock();
    try {
      if (!replica) {
        throw new SqlStateException(
            SqlStateException.NOT_IN_PREREQUISITE_STATE, "recovery is not in progress");
      }
      pendingReplays.clear();
      replayed = log.last();
      upstream = "";
      upstreamAfterReload = "";
      Term next = replayed.position().term().next();
      Term lowest = fence.orElse(next);
      replica = false;
      append(lowest.isAfter(next) ? lowest : next, replayed.state());
    } finally {
      lock.unlock();
    }
  }

  LogRecord lastRecord() {
    return withLock(log::last);
  }

  List<LogRecord> logCopy() {
    return withLock(log::copy);
  }

  boolean contains(LogRecord record) {
    return withLock(() -> log.contains(record));
  }

  List<LogRecord> recordsAfter(LogRecord known) {
    return withLock(() -> log.recordsAfter(known));
  }

  /** Removes the records that the log of a later primary does not contain. */
  void rewindTo(List<LogRecord> upstreamRecords) {
    withLock(
        () -> {
          log.rewindTo(upstreamRecords);
          pendingReplays.removeIf(entry -> !log.contains(entry.record()));
          if (!log.contains(replayed)) {
            replayed = log.last();
          }
          return replayed;
        });
  }

  /**
   * Appends a record from the upstream, unless the instance has stopped receiving from it or the
   * sender is fenced. The fence is compared with the term in which the sender is now primary, not
   * with the term of the record, because the sender's log can contain records of earlier terms in
   * which no primary served.
   */
  boolean receive(
      LogRecord record, Instant replayDue, String senderConnectionInfo, Term senderTerm) {
    return withLock(
        () -> {
          if (!running
              || !replica
              || !upstream.equals(senderConnectionInfo)
              || isFenced(senderTerm)) {
            return false;
          }
          log.append(record);
          pendingReplays.add(new PendingReplay(record, replayDue));
          return true;
        });
  }

  /** Makes the records that are due visible to reads. */
  void replayUntil(Instant now) {
    withLock(
        () -> {
          while (!pendingReplays.isEmpty() && !pendingReplays.getFirst().dueAt().isAfter(now)) {
            replayed = pendingReplays.removeFirst().record();
          }
          return replayed;
        });
  }

  Optional<Instant> nextReplayTime() {
    return withLock(
        () -> Optional.ofNullable(pendingReplays.peekFirst()).map(PendingReplay::dueAt));
  }

  private boolean isFenced(Term senderTerm) {
    return fence.filter(term -> term.isAfter(senderTerm)).isPresent();
  }

  private void append(Term term, DatabaseState state) {
    LogPosition endPosition = new LogPosition(log.last().position().log().bytes() + RECORD_BYTES);
    LogRecord record = new LogRecord(new Position(term, endPosition), clock.instant(), state);
    log.append(record);
    replayed = record;
  }

  private <T> T withLock(Supplier<T> action) {
    lock.lock();
    try {
      return action.get();
    } finally {
      lock.unlock();
    }
  }
}

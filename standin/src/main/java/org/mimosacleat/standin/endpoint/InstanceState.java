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
 * What an instance keeps across restarts: its log, its role and its fence. Reads of the committed
 * state take no lock.
 */
final class InstanceState {
  private static final int RECORD_BYTES = 128;

  /** All instances start from this record, which is what lets a rewind find a common start. */
  static final LogRecord FIRST_RECORD =
      new LogRecord(
          new Position(Term.FIRST, LogPosition.START), Instant.EPOCH, DatabaseState.EMPTY);

  private final InstantSource clock;
  private final ReentrantLock lock = new ReentrantLock();
  private final WriteAheadLog log = new WriteAheadLog(FIRST_RECORD);
  private final Deque<PendingReplay> pending = new ArrayDeque<>();
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

  /** Starts a new generation; commits of earlier ones fail from now on. */
  long start() {
    return locked(
        () -> {
          running = true;
          return ++generation;
        });
  }

  void stop() {
    locked(() -> running = false);
  }

  long generation() {
    return locked(() -> generation);
  }

  long commits() {
    return locked(() -> commits);
  }

  DatabaseState committed() {
    return replayed.state();
  }

  boolean isReplica() {
    return replica;
  }

  /** Returns the connection setting in force, empty where nothing is received. */
  String upstream() {
    return upstream;
  }

  Optional<Term> fence() {
    return fence;
  }

  HomeFence homeFence() {
    return homeFence;
  }

  /** Raises the lowest fencing token that is served; commits under lower ones fail from now on. */
  void setHomeToken(long token) throws SqlError {
    lock.lock();
    try {
      homeFence = homeFence.with(token);
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
    return locked(
        () ->
            new InstanceStatus(
                replica,
                log.lastWithin(replayed.position().term()).position(),
                replayed.position(),
                fence));
  }

  /** Fails if the instance may not write now. */
  void requireWritable(String verb) throws SqlError {
    boolean fenced = fence.filter(term -> term.isAfter(replayed.position().term())).isPresent();
    if (replica || readOnly || fenced) {
      throw new SqlError(
          SqlError.READ_ONLY, "cannot execute " + verb + " in a read-only transaction");
    }
  }

  /** Appends a commit to the log. */
  void commit(Map<String, Optional<Table>> written, SessionRights rights) throws SqlError {
    lock.lock();
    try {
      if (!running || rights.generation() != generation) {
        throw new SqlError(SqlError.ADMIN_SHUTDOWN, "the instance has stopped");
      }
      if (homeFence.shutsOut(rights.homeToken())) {
        throw new SqlError(SqlError.ADMIN_SHUTDOWN, "a later home has fenced this connection");
      }
      requireWritable("COMMIT");
      append(replayed.position().term(), replayed.state().with(written));
      commits++;
    } finally {
      lock.unlock();
    }
  }

  /** Sets the lowest term that is served; it never goes down. */
  void setFence(Term term) throws SqlError {
    lock.lock();
    try {
      if (fence.filter(present -> present.isAfter(term)).isPresent()) {
        throw new SqlError(
            SqlError.INVALID_VALUE,
            "mimosacleat.fence_term must not go down from " + fence.get() + " to " + term);
      }
      fence = Optional.of(term);
    } finally {
      lock.unlock();
    }
  }

  void setUpstream(String connection) {
    locked(() -> upstreamAfterReload = connection);
  }

  /** Puts the connection setting in force; a primary that is given one becomes a replica. */
  void reload() {
    locked(
        () -> {
          upstream = upstreamAfterReload;
          replica = replica || !upstream.isEmpty();
          return replica;
        });
  }

  /** Replays all that was received and starts the next term. */
  void promote() throws SqlError {
    lock.lock();
    try {
      if (!replica) {
        throw new SqlError(SqlError.WRONG_STATE, "recovery is not in progress");
      }
      pending.clear();
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
    return locked(log::last);
  }

  List<LogRecord> logCopy() {
    return locked(log::copy);
  }

  boolean contains(LogRecord record) {
    return locked(() -> log.contains(record));
  }

  List<LogRecord> recordsAfter(LogRecord known) {
    return locked(() -> log.after(known));
  }

  /** Drops what the log of a later primary does not have. */
  void rewindTo(List<LogRecord> other) {
    locked(
        () -> {
          log.rewindTo(other);
          pending.removeIf(entry -> !log.contains(entry.record()));
          if (!log.contains(replayed)) {
            replayed = log.last();
          }
          return replayed;
        });
  }

  /**
   * Takes a record from the primary, unless the instance has stopped receiving meanwhile. The fence
   * is for the term that the sender leads now: its log may hold records of terms that nobody
   * served.
   */
  boolean receive(LogRecord record, Instant replayDue, String from, Term senderTerm) {
    return locked(
        () -> {
          if (!running || !replica || !upstream.equals(from) || isFenced(senderTerm)) {
            return false;
          }
          log.append(record);
          pending.add(new PendingReplay(record, replayDue));
          return true;
        });
  }

  /** Makes what is due visible to reads. */
  void replayUntil(Instant now) {
    locked(
        () -> {
          while (!pending.isEmpty() && !pending.getFirst().due().isAfter(now)) {
            replayed = pending.removeFirst().record();
          }
          return replayed;
        });
  }

  Optional<Instant> nextReplay() {
    return locked(() -> Optional.ofNullable(pending.peekFirst()).map(PendingReplay::due));
  }

  private boolean isFenced(Term senderTerm) {
    return fence.filter(term -> term.isAfter(senderTerm)).isPresent();
  }

  private void append(Term term, DatabaseState state) {
    LogPosition end = new LogPosition(log.last().position().log().bytes() + RECORD_BYTES);
    LogRecord record = new LogRecord(new Position(term, end), clock.instant(), state);
    log.append(record);
    replayed = record;
  }

  private <T> T locked(Supplier<T> action) {
    lock.lock();
    try {
      return action.get();
    } finally {
      lock.unlock();
    }
  }
}

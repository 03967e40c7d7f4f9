package org.mimosacleat.core.acknowledgement;

import io.vavr.control.Either;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;

/**
 * Acknowledges a write once a majority of the members, including the primary, stores it and no
 * other endpoint can have been promoted.
 *
 * <p>A promotion fences a majority and then selects the most advanced fenced endpoint, so at least
 * one of them stores every write acknowledged here. The lease guarantees that the primary was not
 * replaced, so it is checked for each write. Methods are thread-safe and do not block.
 */
public final class ReplicaAcknowledgementTracker implements AcknowledgementTracker {
  private final InstantSource clock;
  private final LeaseStatus lease;
  private final AtomicReference<ReplicationState> state;
  private final AtomicLong sequence = new AtomicLong();
  private final ConcurrentSkipListMap<Key, PendingWrite> pendingWrites =
      new ConcurrentSkipListMap<>(
          Comparator.comparing(Key::commit).thenComparingLong(Key::sequence));

  /** Creates a tracker for the home of a group, starting in the term of {@code reign}. */
  public ReplicaAcknowledgementTracker(
      InstantSource clock, LeaseStatus lease, TermMembership membership) {
    this.clock = Checks.notNull("clock", clock);
    this.lease = Checks.notNull("lease status", lease);
    this.state = new AtomicReference<>(ReplicationState.none(membership));
  }

  @Override
  public CompletableFuture<Either<Failure, Position>> await(Position commit, Instant deadline) {
    PendingWrite write = new PendingWrite(deadline, new CompletableFuture<>());
    Key key = new Key(commit, sequence.incrementAndGet());
    pendingWrites.put(key, write);
    // Read after the insert, so that any later change of the state finds the pending write.
    ReplicationState current = state.get();
    failUnacceptable(key, current);
    release(current);
    return write.result();
  }

  @Override
  public void applyPollResponse(PollResponse response) {
    release(state.updateAndGet(current -> current.with(response)));
  }

  @Override
  public void startTerm(TermMembership membership) {
    failUnacceptable(
        state.updateAndGet(
            current ->
                current.membership().term().isAfter(membership.term())
                    ? current
                    : ReplicationState.none(membership)));
  }

  @Override
  public void suspend() {
    failUnacceptable(state.updateAndGet(ReplicationState::closed));
  }

  @Override
  public void tick() {
    Instant now = clock.instant();
    pendingWrites.forEach(
        (key, write) -> {
          if (!now.isBefore(write.deadline())) {
            fail(key, "not enough replicas confirmed the write before its deadline");
          }
        });
  }

  private void release(ReplicationState current) {
    for (Key key : pendingWrites.keySet()) {
      if (!current.confirms(key.commit()) || !lease.isHeld()) {
        return;
      }
      PendingWrite write = pendingWrites.remove(key);
      if (write != null) {
        write.result().complete(Either.right(key.commit()));
      }
    }
  }

  private void failUnacceptable(ReplicationState current) {
    pendingWrites.keySet().forEach(key -> failUnacceptable(key, current));
  }

  private void failUnacceptable(Key key, ReplicationState current) {
    if (!current.accepts(key.commit())) {
      fail(key, "the primary of term " + key.commit().term() + " no longer serves");
    }
  }

  private void fail(Key key, String detail) {
    PendingWrite write = pendingWrites.remove(key);
    if (write != null) {
      write.result().complete(Either.left(new Failure(ErrorKind.NOT_CONFIRMED, detail)));
    }
  }

  private record Key(Position commit, long sequence) {}

  private record PendingWrite(
      Instant deadline, CompletableFuture<Either<Failure, Position>> result) {}
}

package org.mimosacleat.core.acknowledgement;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;

/**
 * Delays the acknowledgement of each write until enough replicas store it.
 *
 * <p>The home calls {@link #await} with the commit position that the primary returned and answers
 * the client when the future completes. A right value means that the write may be acknowledged; a
 * left value means that it may be lost. The home passes every poll answer to {@link
 * #applyPollResponse}, calls {@link #tick} several times per second, and calls {@link #startTerm}
 * at each change of the primary. Futures complete on the thread of the call that completes them.
 */
public interface AcknowledgementTracker {
  /**
   * Registers a write that the primary has committed.
   *
   * @param commit a log position at or after the commit, in the term that the write ran in
   * @param deadline when the write fails if it is still unconfirmed
   * @return the commit position, or a failure of kind {@code NOT_CONFIRMED}
   */
  CompletableFuture<Either<Failure, Position>> await(Position commit, Instant deadline);

  /** Applies a poll answer of an endpoint and completes the writes that it confirms. */
  void applyPollResponse(PollResponse response);

  /**
   * Starts a term and fails the pending writes of other terms. The home calls it before it promotes
   * the primary of that term, so that no write of an earlier term is acknowledged afterwards.
   */
  void startTerm(TermMembership membership);

  /**
   * Stops acknowledging: pending writes fail, and so do new ones until a term starts. The home
   * calls it when it loses or gains the lease and when a promotion begins.
   */
  void suspend();

  /** Fails the pending writes whose deadline has passed. */
  void tick();
}

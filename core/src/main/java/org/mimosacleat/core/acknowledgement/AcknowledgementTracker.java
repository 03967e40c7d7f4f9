package org.mimosacleat.core.acknowledgement;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;

/**
 * Holds back the answer of each write until it is safe to give it.
 *
 * <p>The home calls {@link #await} with the commit position that the primary returned and answers
 * the caller when the future completes: on the right it may acknowledge, on the left the outcome is
 * not known to be kept. It passes every poll answer to {@link #answered}, calls {@link #tick} a few
 * times a second, and {@link #termStarted} at each change of the primary. Futures complete on the
 * thread of the call that releases them.
 */
public interface AcknowledgementTracker {
  /**
   * Registers a write that the primary has committed.
   *
   * @param commit a position at or after its commit, of the term it ran in
   * @param deadline when to give up
   * @return the commit position, or a failure of kind {@code NOT_CONFIRMED}
   */
  CompletableFuture<Either<Failure, Position>> await(Position commit, Instant deadline);

  /** Takes in the answer of an endpoint, and releases the writes that it confirms. */
  void answered(PollAnswer answer);

  /**
   * Starts a term: writes of other terms that still wait fail. The home calls it before it promotes
   * the primary of that term, so that nothing of the earlier term is acknowledged any more.
   */
  void termStarted(Reign reign);

  /**
   * Stops: all writes that wait, and those registered from now on, fail until a term starts. The
   * home calls it when it loses the lease, when it gains it, and when a promotion begins.
   */
  void withdrawn();

  /** Fails the writes whose deadline has passed. */
  void tick();
}

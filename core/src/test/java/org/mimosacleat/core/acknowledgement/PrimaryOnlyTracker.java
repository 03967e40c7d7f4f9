package org.mimosacleat.core.acknowledgement;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;

/**
 * A deliberately faulty tracker that acknowledges writes stored only on the primary. The simulation
 * must detect it.
 */
final class PrimaryOnlyTracker implements AcknowledgementTracker {
  @Override
  public CompletableFuture<Either<Failure, Position>> await(Position commit, Instant deadline) {
    return CompletableFuture.completedFuture(Either.right(commit));
  }

  @Override
  public void applyPollResponse(PollResponse response) {}

  @Override
  public void startTerm(TermMembership membership) {}

  @Override
  public void tick() {}

  @Override
  public void suspend() {}
}

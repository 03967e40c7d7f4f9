package org.mimosacleat.core.acknowledgement;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/** A wrong tracker: it forgets that an endpoint was fenced. The oracles have to catch it. */
final class FenceBlindTracker implements AcknowledgementTracker {
  private final AcknowledgementTracker tracker;

  FenceBlindTracker(AcknowledgementTracker tracker) {
    this.tracker = tracker;
  }

  @Override
  public CompletableFuture<Either<Failure, Position>> await(Position commit, Instant deadline) {
    return tracker.await(commit, deadline);
  }

  @Override
  public void answered(PollAnswer answer) {
    tracker.answered(
        new PollAnswer(
            answer.endpoint(),
            answer.received(),
            answer.replayed(),
            new Term(0),
            answer.askedAt()));
  }

  @Override
  public void termStarted(Reign reign) {
    tracker.termStarted(reign);
  }

  @Override
  public void tick() {
    tracker.tick();
  }

  @Override
  public Instant provenAt() {
    return tracker.provenAt();
  }
}

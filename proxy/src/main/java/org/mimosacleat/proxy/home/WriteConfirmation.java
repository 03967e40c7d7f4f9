package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.position.Position;

/** Holds back the answer of a write until a replica has it, and polls for that meanwhile. */
final class WriteConfirmation {
  private static final Duration LAST_WORD = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final GroupState state;
  private final EndpointWatchers watchers;
  private final Duration timeout;

  WriteConfirmation(
      InstantSource clock, GroupState state, EndpointWatchers watchers, Duration timeout) {
    this.clock = clock;
    this.state = state;
    this.watchers = watchers;
    this.timeout = timeout;
  }

  /** Waits, then records the write for the session's next reads. */
  Either<Failure, Position> confirm(SessionId session, Position commit, Instant deadline) {
    return await(commit, deadline)
        .peek(confirmed -> state.positions().recordAcknowledgedWrite(session, confirmed));
  }

  private Either<Failure, Position> await(Position commit, Instant deadline) {
    Instant limit = clock.instant().plus(timeout);
    Instant end = limit.isBefore(deadline) ? limit : deadline;
    CompletableFuture<Either<Failure, Position>> confirmation = state.tracker().await(commit, end);
    while (true) {
      CompletableFuture<Void> change = state.nextChange();
      if (confirmation.isDone() || !clock.instant().isBefore(end)) {
        state.tracker().tick();
        return join(confirmation);
      }
      watchers.pokeAll();
      ChangeSignal.await(change, Duration.between(clock.instant(), end));
    }
  }

  private static Either<Failure, Position> join(
      CompletableFuture<Either<Failure, Position>> confirmation) {
    try {
      return confirmation.get(LAST_WORD.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException unanswered) {
      // Both are answered below: whether the write is kept is not known.
    }
    return Either.left(new Failure(ErrorKind.NOT_CONFIRMED, "the write was not confirmed in time"));
  }
}

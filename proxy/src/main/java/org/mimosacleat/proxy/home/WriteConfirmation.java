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

/**
 * Withholds the answer of a write until a replica has received it; polls the endpoints meanwhile.
 */
final class WriteConfirmation {
  private static final Duration FINAL_RESULT_TIMEOUT = Duration.ofSeconds(1);

  private final InstantSource clock;
  private final GroupState state;
  private final EndpointMonitors monitors;
  private final Duration timeout;

  WriteConfirmation(
      InstantSource clock, GroupState state, EndpointMonitors monitors, Duration timeout) {
    this.clock = clock;
    this.state = state;
    this.monitors = monitors;
    this.timeout = timeout;
  }

  /** Waits for the confirmation, then records the position for the session's next reads. */
  Either<Failure, Position> confirm(SessionId session, Position commit, Instant deadline) {
    return awaitConfirmation(commit, deadline)
        .peek(confirmed -> state.positions().recordAcknowledgedWrite(session, confirmed));
  }

  private Either<Failure, Position> awaitConfirmation(Position commit, Instant deadline) {
    Instant confirmationDeadline = clock.instant().plus(timeout);
    Instant end = confirmationDeadline.isBefore(deadline) ? confirmationDeadline : deadline;
    CompletableFuture<Either<Failure, Position>> confirmation = state.tracker().await(commit, end);
    while (true) {
      CompletableFuture<Void> change = state.nextChange();
      if (confirmation.isDone() || !clock.instant().isBefore(end)) {
        state.tracker().tick();
        return resultOf(confirmation);
      }
      monitors.pollAllNow();
      ChangeSignal.await(change, Duration.between(clock.instant(), end));
    }
  }

  private static Either<Failure, Position> resultOf(
      CompletableFuture<Either<Failure, Position>> confirmation) {
    try {
      return confirmation.get(FINAL_RESULT_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException unanswered) {
      // Handled below: whether the write will survive a failover is not known.
    }
    return Either.left(
        new Failure(
            ErrorKind.NOT_CONFIRMED,
            "the write was not confirmed in time; whether it is kept is not known"));
  }
}

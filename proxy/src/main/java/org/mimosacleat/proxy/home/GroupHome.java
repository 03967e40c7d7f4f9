package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.error.Outcome;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.routing.Freshness;
import org.mimosacleat.core.routing.GroupRoutingState;
import org.mimosacleat.core.routing.RouteDecision;
import org.mimosacleat.core.routing.RouteRequest;
import org.mimosacleat.core.routing.Router;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.BatchRequest;

/**
 * Runs the batches of one group: each is admitted, routed and run in a slot on a pooled or pinned
 * connection; a write is answered once it is confirmed. Call {@link #execute} on a thread that may
 * block.
 */
final class GroupHome {
  private final InstantSource clock;
  private final Router router;
  private final GroupState state;
  private final EndpointMonitors monitors;
  private final Admission admission;
  private final EndpointBatchExecutor batchExecutor;

  GroupHome(
      InstantSource clock,
      Router router,
      GroupState state,
      EndpointMonitors monitors,
      Admission admission,
      EndpointBatchExecutor batchExecutor) {
    this.clock = clock;
    this.router = router;
    this.state = state;
    this.monitors = monitors;
    this.admission = admission;
    this.batchExecutor = batchExecutor;
  }

  /** Runs one batch; blocks until it is answered. */
  Either<Failure, BatchAnswer> execute(BatchRequest request, RunningBatch batch) {
    if (request.isInTransaction()) {
      return batchExecutor.continueTransaction(newAttempt(request, batch));
    }
    Either<Failure, Permit> permit = admission.admit(request.customer());
    if (permit.isLeft()) {
      return Either.left(permit.getLeft());
    }
    try (Permit _ = permit.get()) {
      return routeAndRun(newAttempt(request, batch));
    }
  }

  private BatchAttempt newAttempt(BatchRequest request, RunningBatch batch) {
    Instant now = clock.instant();
    Duration maxDuration = admission.maxRequestDuration(request.customer());
    Duration remaining =
        maxDuration.isPositive() && maxDuration.compareTo(request.remainingTime()) < 0
            ? maxDuration
            : request.remainingTime();
    return new BatchAttempt(request, batch, request.kind(), now, now.plus(remaining));
  }

  private Either<Failure, BatchAnswer> routeAndRun(BatchAttempt attempt) {
    while (true) {
      if (attempt.batch().isCancelled()) {
        return Either.left(
            new Failure(
                ErrorKind.DEADLINE_BEFORE_START,
                "not run: the batch was cancelled before it was sent"));
      }
      CompletableFuture<Void> change = state.nextChange();
      GroupRoutingState knowledge = state.knowledge();
      switch (router.route(routeRequest(attempt), knowledge)) {
        case RouteDecision.ToPrimary(EndpointId endpoint) -> {
          return batchExecutor.run(attempt, endpoint, Optional.of(knowledge.snapshot().term()));
        }
        case RouteDecision.ToReplica(EndpointId endpoint) -> {
          Either<Failure, BatchAnswer> answer = runOnReplica(attempt, endpoint);
          if (answer.isRight() || !canRunElsewhere(answer.getLeft(), attempt)) {
            return answer;
          }
          state.markSuspect(endpoint);
        }
        case RouteDecision.AwaitReplica(EndpointId endpoint, Position needed, Instant until) -> {
          monitors.pollNow(endpoint);
          awaitChange(change, until);
        }
        case RouteDecision.AwaitPrimary(Instant until) -> awaitChange(change, until);
        case RouteDecision.Refuse(Failure failure) -> {
          return Either.left(failure);
        }
      }
    }
  }

  private Either<Failure, BatchAnswer> runOnReplica(BatchAttempt attempt, EndpointId endpoint) {
    return batchExecutor
        .runOnReplica(attempt, endpoint)
        .fold(
            Either::left,
            answer ->
                answer
                    .map(Either::<Failure, BatchAnswer>right)
                    .orElseGet(() -> routeAndRun(attempt.asWrite())));
  }

  /**
   * Returns whether a batch that failed on a replica may be routed again. Such a batch is a read,
   * so it is safe to run it twice.
   */
  private boolean canRunElsewhere(Failure failure, BatchAttempt attempt) {
    return failure.kind().outcome() != Outcome.RAN
        && failure.kind() != ErrorKind.OVERLOADED
        && failure.kind() != ErrorKind.OVER_ALLOWANCE
        && clock.instant().isBefore(attempt.deadline());
  }

  private void awaitChange(CompletableFuture<Void> change, Instant until) {
    ChangeSignal.await(change, Duration.between(clock.instant(), until));
  }

  private RouteRequest routeRequest(BatchAttempt attempt) {
    Optional<Position> required = state.positions().required(attempt.request().session());
    Freshness freshness =
        attempt
            .request()
            .maxStaleness()
            .<Freshness>map(maxStaleness -> new Freshness.BoundedStaleness(maxStaleness, required))
            .orElseGet(() -> new Freshness.ReadYourWrites(required));
    return new RouteRequest(attempt.kind(), freshness, attempt.arrivedAt(), attempt.deadline());
  }
}

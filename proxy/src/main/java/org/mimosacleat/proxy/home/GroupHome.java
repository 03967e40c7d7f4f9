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
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/**
 * Runs the batches of one group: each is admitted, routed, run in a slot on a pooled or pinned
 * connection, and answered when the session's view is safe. Call {@link #execute} from a thread
 * that may wait.
 */
final class GroupHome {
  private final InstantSource clock;
  private final Router router;
  private final GroupState state;
  private final EndpointWatchers watchers;
  private final Admission admission;
  private final EndpointWork endpoints;

  GroupHome(
      InstantSource clock,
      Router router,
      GroupState state,
      EndpointWatchers watchers,
      Admission admission,
      EndpointWork endpoints) {
    this.clock = clock;
    this.router = router;
    this.state = state;
    this.watchers = watchers;
    this.admission = admission;
    this.endpoints = endpoints;
  }

  /** Runs one batch and waits for its answer. */
  Either<Failure, WorkAnswer> execute(WorkRequest request, WorkTicket ticket) {
    if (request.isInTransaction()) {
      return endpoints.continueTransaction(attempt(request, ticket));
    }
    Either<Failure, Permit> permit = admission.admit(request.customer());
    if (permit.isLeft()) {
      return Either.left(permit.getLeft());
    }
    try (Permit _ = permit.get()) {
      return start(attempt(request, ticket));
    }
  }

  private Attempt attempt(WorkRequest request, WorkTicket ticket) {
    Instant now = clock.instant();
    Duration longest = admission.longestRequest(request.customer());
    Duration limit =
        longest.isPositive() && longest.compareTo(request.timeLeft()) < 0
            ? longest
            : request.timeLeft();
    return new Attempt(request, ticket, request.kind(), now, now.plus(limit));
  }

  private Either<Failure, WorkAnswer> start(Attempt attempt) {
    while (true) {
      if (attempt.ticket().isCancelled()) {
        return Either.left(
            new Failure(ErrorKind.DEADLINE_BEFORE_START, "cancelled before it was sent"));
      }
      CompletableFuture<Void> change = state.nextChange();
      GroupRoutingState knowledge = state.knowledge();
      switch (router.route(routeRequest(attempt), knowledge)) {
        case RouteDecision.ToPrimary(EndpointId endpoint) -> {
          return endpoints.run(attempt, endpoint, Optional.of(knowledge.snapshot().term()));
        }
        case RouteDecision.ToReplica(EndpointId endpoint) -> {
          Either<Failure, WorkAnswer> answer = runOnReplica(attempt, endpoint);
          if (answer.isRight() || !mayRunElsewhere(answer.getLeft(), attempt)) {
            return answer;
          }
          state.failed(endpoint);
        }
        case RouteDecision.AwaitReplica(EndpointId endpoint, Position needed, Instant until) -> {
          watchers.poke(endpoint);
          awaitChange(change, until);
        }
        case RouteDecision.AwaitPrimary(Instant until) -> awaitChange(change, until);
        case RouteDecision.Refuse(Failure failure) -> {
          return Either.left(failure);
        }
      }
    }
  }

  private Either<Failure, WorkAnswer> runOnReplica(Attempt attempt, EndpointId endpoint) {
    return endpoints
        .runOnReplica(attempt, endpoint)
        .fold(
            Either::left,
            answer ->
                answer
                    .map(Either::<Failure, WorkAnswer>right)
                    .orElseGet(() -> start(attempt.asWrite())));
  }

  /** Only reads come here: whatever is known of them, they may run again. */
  private boolean mayRunElsewhere(Failure failure, Attempt attempt) {
    return failure.kind().outcome() != Outcome.RAN
        && failure.kind() != ErrorKind.OVERLOADED
        && failure.kind() != ErrorKind.OVER_ALLOWANCE
        && clock.instant().isBefore(attempt.deadline());
  }

  private void awaitChange(CompletableFuture<Void> change, Instant until) {
    ChangeSignal.await(change, Duration.between(clock.instant(), until));
  }

  private RouteRequest routeRequest(Attempt attempt) {
    Optional<Position> required = state.positions().required(attempt.request().session());
    Freshness freshness =
        attempt
            .request()
            .maximumAge()
            .<Freshness>map(age -> new Freshness.BoundedStaleness(age, required))
            .orElseGet(() -> new Freshness.ReadYourWrites(required));
    return new RouteRequest(attempt.kind(), freshness, attempt.arrivedAt(), attempt.deadline());
  }
}

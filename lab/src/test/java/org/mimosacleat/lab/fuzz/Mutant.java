package org.mimosacleat.lab.fuzz;

import io.vavr.control.Either;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.acknowledgement.AcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.LeaseStatus;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.lease.LeaseRights;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.routing.Freshness;
import org.mimosacleat.core.routing.GroupRoutingState;
import org.mimosacleat.core.routing.RouteRequest;
import org.mimosacleat.core.routing.Router;
import org.mimosacleat.core.session.SessionPositions;

/** Components with one defect each, which the fuzz test must detect. */
enum Mutant implements ProxyComponents {
  /** Acknowledges a write as soon as the primary has it. */
  ACKNOWLEDGES_WITHOUT_REPLICA("replaced primary") {
    @Override
    public AcknowledgementTracker tracker(
        InstantSource clock, LeaseStatus lease, TermMembership membership) {
      return new AcknowledgementTracker() {
        @Override
        public CompletableFuture<Either<Failure, Position>> await(
            Position commit, Instant deadline) {
          return CompletableFuture.completedFuture(Either.right(commit));
        }

        @Override
        public void applyPollResponse(PollResponse response) {}

        @Override
        public void startTerm(TermMembership membership) {}

        @Override
        public void suspend() {}

        @Override
        public void tick() {}
      };
    }
  },

  /** Treats a lease as held after its expiry, such as after a pause. */
  TRUSTS_LAPSED_LEASE("replaced primary") {
    @Override
    public LeaseStatus leaseStatus(InstantSource clock, Supplier<LeaseRights> rights) {
      return () -> !rights.get().equals(LeaseRights.NONE);
    }
  },

  /** Does not record the positions that sessions wrote. */
  FORGETS_SESSIONS("read your writes") {
    @Override
    public SessionPositions positions() {
      SessionPositions real = ProxyComponents.REAL.positions();
      return new SessionPositions() {
        @Override
        public Optional<Position> required(SessionId session) {
          return real.required(session);
        }

        @Override
        public Optional<Position> highest() {
          return real.highest();
        }

        @Override
        public void recordAcknowledgedWrite(SessionId session, Position commit) {}

        @Override
        public void setFloor(Position position) {
          real.setFloor(position);
        }

        @Override
        public void clearFloor() {
          real.clearFloor();
        }
      };
    }
  },

  /** Reads from any live replica, whatever its position. */
  IGNORES_POSITION("read your writes") {
    @Override
    public Router router(InstantSource clock, RandomGenerator random, AvailabilityZone zone) {
      Router real = ProxyComponents.REAL.router(clock, random, zone);
      return (request, routingState) ->
          real.route(
              new RouteRequest(
                  request.kind(),
                  new Freshness.ReadYourWrites(Optional.of(Position.NONE)),
                  request.arrivedAt(),
                  request.deadline()),
              routingState);
    }
  },

  /** Reports work whose answer was lost as not run. */
  CALLS_LOST_ANSWER_NOT_RUN("not run") {
    @Override
    public ErrorKind lostAnswerKind() {
      return ErrorKind.UNAVAILABLE;
    }

    @Override
    public boolean canRetry(ErrorKind kind) {
      return false;
    }
  },

  /** Retries work whose outcome is unknown. */
  REPEATS_UNKNOWN_WORK("at most once") {
    @Override
    public boolean canRetry(ErrorKind kind) {
      return true;
    }
  },

  /** Sends work to leaving endpoints. */
  IGNORES_LEAVING("leaving endpoint") {
    @Override
    public Router router(InstantSource clock, RandomGenerator random, AvailabilityZone zone) {
      Router real = ProxyComponents.REAL.router(clock, random, zone);
      return (request, routingState) -> real.route(request, withoutLeaving(routingState));
    }

    private GroupRoutingState withoutLeaving(GroupRoutingState routingState) {
      GroupSnapshot snapshot = routingState.snapshot();
      GroupSnapshot all =
          new GroupSnapshot(
              snapshot.group(),
              snapshot.term(),
              snapshot.primary(),
              snapshot.endpoints().stream()
                  .map(
                      endpointSnapshot ->
                          SimulatedGroupState.withState(endpointSnapshot, EndpointState.LIVE))
                  .toList());
      return new GroupRoutingState(
          all, routingState.history(), routingState.acknowledged(), routingState.leaseHeld());
    }
  };

  private final String expectedViolation;

  Mutant(String expectedViolation) {
    this.expectedViolation = expectedViolation;
  }

  /** Returns the prefix of the violation that the mutant must cause. */
  String expectedViolation() {
    return expectedViolation;
  }
}

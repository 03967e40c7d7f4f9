package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.acknowledgement.AcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.LeaseStatus;
import org.mimosacleat.core.acknowledgement.ReplicaAcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.RetryAdvice;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.lease.LeaseRights;
import org.mimosacleat.core.routing.FreshnessRouter;
import org.mimosacleat.core.routing.Router;
import org.mimosacleat.core.routing.RoutingSettings;
import org.mimosacleat.core.session.SessionPositionTable;
import org.mimosacleat.core.session.SessionPositions;

/** Creates the decision components of a proxy; a mutant overrides a production component. */
interface ProxyComponents {
  /** The production components. */
  ProxyComponents REAL = new ProxyComponents() {};

  /** Returns the check that the lease allows acknowledgements, with the condition of the proxy. */
  default LeaseStatus leaseStatus(InstantSource clock, Supplier<LeaseRights> rights) {
    return () -> {
      LeaseRights currentRights = rights.get();
      return currentRights.isHome(clock.instant())
          && !clock.instant().isBefore(currentRights.earlierHoldersExpiredAt());
    };
  }

  /** Creates the acknowledgement tracker. */
  default AcknowledgementTracker tracker(
      InstantSource clock, LeaseStatus lease, TermMembership membership) {
    return new ReplicaAcknowledgementTracker(clock, lease, membership);
  }

  /** Creates the table of session positions. */
  default SessionPositions positions() {
    return new SessionPositionTable(1 << 10);
  }

  /** Creates the router. */
  default Router router(InstantSource clock, RandomGenerator random, AvailabilityZone zone) {
    return new FreshnessRouter(
        clock, random, endpoint -> Duration.ZERO, zone, RoutingSettings.DEFAULT);
  }

  /** Returns the error for work that was sent but not answered. */
  default ErrorKind lostAnswerKind() {
    return ErrorKind.CONNECTION_LOST;
  }

  /** Returns whether work that must not be repeated may be sent again after this failure. */
  default boolean canRetry(ErrorKind kind) {
    return kind.retryAdvice() == RetryAdvice.ANY;
  }
}

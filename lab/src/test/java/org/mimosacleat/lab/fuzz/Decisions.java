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

/** Makes the decisions of a proxy; the defaults are the real ones, and a mutant overrides one. */
interface Decisions {
  /** The real decisions. */
  Decisions REAL = new Decisions() {};

  /** Tells whether the lease counts for acknowledgements, as the proxy's group agent asks it. */
  default LeaseStatus lease(InstantSource clock, Supplier<LeaseRights> rights) {
    return () -> {
      LeaseRights current = rights.get();
      return current.isHome(clock.instant())
          && !clock.instant().isBefore(current.earlierHoldersExpiredAt());
    };
  }

  /** Makes the tracker of acknowledgements. */
  default AcknowledgementTracker tracker(
      InstantSource clock, LeaseStatus lease, TermMembership reign) {
    return new ReplicaAcknowledgementTracker(clock, lease, reign);
  }

  /** Makes the table of session positions. */
  default SessionPositions positions() {
    return new SessionPositionTable(1 << 10);
  }

  /** Makes the router. */
  default Router router(InstantSource clock, RandomGenerator random, AvailabilityZone zone) {
    return new FreshnessRouter(
        clock, random, endpoint -> Duration.ZERO, zone, RoutingSettings.DEFAULT);
  }

  /** Classifies work that was sent and of which the answer did not come. */
  default ErrorKind unanswered() {
    return ErrorKind.CONNECTION_LOST;
  }

  /** Tells whether work that must not be repeated may be sent again after this failure. */
  default boolean maySendAgain(ErrorKind kind) {
    return kind.retryAdvice() == RetryAdvice.ANY;
  }
}

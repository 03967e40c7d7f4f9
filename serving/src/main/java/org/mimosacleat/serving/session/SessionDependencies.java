package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.access.AccessControl;
import org.mimosacleat.serving.drain.DrainProgress;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.limits.TeamLimits;
import org.mimosacleat.serving.relay.Relay;
import org.mimosacleat.serving.routing.GroupStates;
import org.mimosacleat.serving.routing.PrimarySuspicionListener;
import org.mimosacleat.serving.routing.TargetChooser;

/**
 * The dependencies that all sessions of a proxy share.
 *
 * @param fleet the configuration and endpoints of the fleet
 * @param access decides which callers may use a route
 * @param groupStates what is known of each group's primary
 * @param chooser chooses endpoints
 * @param retryLoop retries attempts
 * @param suspicionListener receives reports of primaries that do not answer as primary
 * @param relay the gateways that run statements for this proxy
 * @param failureLog logs statements that failed
 * @param transactionNumbers numbers the transactions of this proxy
 * @param limits admits the operations of teams
 * @param drain which work is still begun while the proxy stops
 * @param clock the clock for all deadlines
 */
record SessionDependencies(
    FleetState fleet,
    AccessControl access,
    GroupStates groupStates,
    TargetChooser chooser,
    RetryLoop retryLoop,
    PrimarySuspicionListener suspicionListener,
    Relay relay,
    FailureLog failureLog,
    AtomicLong transactionNumbers,
    TeamLimits limits,
    DrainProgress drain,
    InstantSource clock) {
  /** The refusal of new work while the proxy stops. */
  static final Failure STOPPING =
      new Failure(ErrorKind.SHUTTING_DOWN, "the proxy is stopping and takes no new work");

  /** Admits one operation of a session, whose caller may have no team. */
  Either<Failure, Void> admit(SessionState session) {
    Optional<TeamId> team = session.team();
    return team.isEmpty() ? Either.right(null) : limits.admit(team.get());
  }
}

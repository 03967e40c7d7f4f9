package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.access.AccessControl;
import org.mimosacleat.serving.drain.DrainProgress;
import org.mimosacleat.serving.drain.DrainTimes;
import org.mimosacleat.serving.fleet.ApiKey;
import org.mimosacleat.serving.fleet.Configuration;
import org.mimosacleat.serving.fleet.DatabaseName;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.limits.TeamLimits;
import org.mimosacleat.serving.relay.Relay;
import org.mimosacleat.serving.routing.GroupStates;
import org.mimosacleat.serving.routing.PrimarySuspicionListener;
import org.mimosacleat.serving.routing.TargetChooser;

/** Opens the sessions of a proxy. */
public final class Sessions {
  /** Less than the two seconds that clients wait for the start of a session. */
  private static final Duration START_TIMEOUT = Duration.ofMillis(1_500);

  private static final Duration START_CHECK_INTERVAL = Duration.ofMillis(20);

  private final SessionDependencies dependencies;
  private final Sleeper sleeper;

  /** Creates the factory of a proxy that never drains, without limits of teams. */
  public Sessions(
      FleetState fleet,
      AccessControl access,
      GroupStates groupStates,
      TargetChooser chooser,
      PrimarySuspicionListener suspicionListener,
      Relay relay,
      InstantSource clock,
      RandomGenerator random,
      Sleeper sleeper) {
    this(
        fleet,
        access,
        groupStates,
        chooser,
        suspicionListener,
        relay,
        TeamLimits.UNLIMITED,
        new DrainProgress(clock, new DrainTimes(Duration.ZERO, START_TIMEOUT)),
        clock,
        random,
        sleeper);
  }

  /** Creates the factory with what all sessions share. */
  public Sessions(
      FleetState fleet,
      AccessControl access,
      GroupStates groupStates,
      TargetChooser chooser,
      PrimarySuspicionListener suspicionListener,
      Relay relay,
      TeamLimits limits,
      DrainProgress drain,
      InstantSource clock,
      RandomGenerator random,
      Sleeper sleeper) {
    this.sleeper = sleeper;
    this.dependencies =
        new SessionDependencies(
            fleet,
            access,
            groupStates,
            chooser,
            new RetryLoop(fleet, clock, random, sleeper),
            suspicionListener,
            relay,
            new FailureLog(clock),
            new AtomicLong(),
            limits,
            drain,
            clock);
  }

  /**
   * Opens a session on a database that has a route, if the caller may use it; waits for the first
   * configuration.
   *
   * @param database the database
   * @param key the caller's API key, if it sent one
   * @return the session, or AUTHENTICATION_FAILED for an unknown key, UNAVAILABLE if there is no
   *     configuration or it may be too old to admit keys, UNKNOWN_GROUP for an unknown database,
   *     SHUTTING_DOWN if the proxy takes no new work
   */
  public Either<Failure, Session> open(DatabaseName database, Optional<ApiKey> key) {
    if (!dependencies.drain().takesNewWork()) {
      return Either.left(SessionDependencies.STOPPING);
    }
    Optional<Configuration> configuration = awaitConfiguration();
    if (configuration.isEmpty()) {
      return Either.left(new Failure(ErrorKind.UNAVAILABLE, "the proxy has no configuration yet"));
    }
    SessionState state = new SessionState(key);
    Admission admission = new Admission(dependencies, state, database);
    return admission
        .admit()
        .map(_ -> new Session(dependencies, database, state, admission))
        .peekLeft(failure -> logRefusal(database, failure));
  }

  private void logRefusal(DatabaseName database, Failure failure) {
    dependencies.failureLog().logRefusedStart(database, dependencies.fleet().snapshot(), failure);
  }

  /** Starts to run statements that arrive over one connection from another proxy. */
  public RelayedStatements openRelayed() {
    return new RelayedStatements(dependencies);
  }

  /** Returns how long a transaction may be idle between two statements. */
  public Duration transactionIdleLimit() {
    return dependencies
        .fleet()
        .snapshot()
        .configuration()
        .map(Configuration::transactionIdleLimit)
        .orElse(START_TIMEOUT);
  }

  private Optional<Configuration> awaitConfiguration() {
    Instant deadline = dependencies.clock().instant().plus(START_TIMEOUT);
    while (dependencies.fleet().snapshot().configuration().isEmpty()
        && dependencies.clock().instant().isBefore(deadline)) {
      sleeper.sleep(START_CHECK_INTERVAL);
    }
    return dependencies.fleet().snapshot().configuration();
  }
}

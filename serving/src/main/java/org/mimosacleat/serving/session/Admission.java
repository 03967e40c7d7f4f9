package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.access.AccessDecision;
import org.mimosacleat.serving.fleet.Configuration;
import org.mimosacleat.serving.fleet.DatabaseName;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.relay.RelayContext;

/**
 * Admits the caller of one session by the current configuration, and records its team in the
 * session. Refusals never contain the key.
 */
final class Admission {
  private final SessionDependencies dependencies;
  private final SessionState session;
  private final DatabaseName database;

  Admission(SessionDependencies dependencies, SessionState session, DatabaseName database) {
    this.dependencies = dependencies;
    this.session = session;
    this.database = database;
  }

  /** Admits the caller to its database and returns the current route. */
  Either<Failure, Route> admit() {
    Duration age = dependencies.access().configurationAge();
    Optional<Configuration> configuration = configuration();
    Optional<Route> route = configuration.flatMap(known -> known.route(database));
    if (route.isEmpty()) {
      return Either.left(new Failure(ErrorKind.UNKNOWN_GROUP, "no route for database " + database));
    }
    return decide(route.get(), configuration.get(), age).map(_ -> route.get());
  }

  /**
   * Admits the caller of a transaction that was begun with a route. The transaction keeps that
   * route, even if the configuration no longer contains it.
   */
  Either<Failure, Void> admitTransaction(Route begunWith) {
    Duration age = dependencies.access().configurationAge();
    Optional<Configuration> configuration = configuration();
    if (configuration.isEmpty()) {
      return Either.right(null);
    }
    Route current = configuration.get().route(database).orElse(begunWith);
    return decide(current, configuration.get(), age);
  }

  /**
   * Admits the caller of a statement that another proxy has relayed. That proxy's decision holds
   * unless this proxy's configuration is newer.
   */
  Either<Failure, Void> admitRelayed(RelayContext context) {
    Optional<Configuration> newer =
        configuration().filter(known -> known.version() > context.configurationVersion());
    if (newer.isEmpty()) {
      session.admit(context.team(), context.configurationVersion());
      return Either.right(null);
    }
    Route current = newer.get().route(database).orElse(context.route());
    AccessDecision decision = dependencies.access().recheck(session.key(), current, newer.get());
    return apply(decision, newer.get());
  }

  private Either<Failure, Void> decide(Route route, Configuration configuration, Duration age) {
    AccessDecision decision =
        dependencies.access().decide(session.key(), route, configuration, age);
    return apply(decision, configuration);
  }

  private Either<Failure, Void> apply(AccessDecision decision, Configuration configuration) {
    return switch (decision) {
      case AccessDecision.Allowed allowed -> {
        session.admit(allowed.team(), configuration.version());
        yield Either.right(null);
      }
      case AccessDecision.UnknownKey _ ->
          Either.left(
              new Failure(ErrorKind.AUTHENTICATION_FAILED, "no known API key for " + database));
      case AccessDecision.ConfigurationTooOld _ ->
          Either.left(
              new Failure(
                  ErrorKind.UNAVAILABLE,
                  "API keys are refused: the configuration is not known to be current"));
    };
  }

  private Optional<Configuration> configuration() {
    return dependencies.fleet().snapshot().configuration();
  }
}

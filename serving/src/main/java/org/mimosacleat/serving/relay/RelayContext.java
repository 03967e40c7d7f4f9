package org.mimosacleat.serving.relay;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.fleet.ApiKey;
import org.mimosacleat.serving.fleet.Route;

/**
 * What a gateway must know of the session and the route of a statement.
 *
 * @param route the route by the configuration of the proxy that the client is connected to
 * @param team the team of the caller, if it has one
 * @param key the caller's API key, if it sent one
 * @param configurationVersion the version of the configuration by which the caller was admitted
 * @param values the session's values
 * @param lastWrite the position of the session's last write to the group
 * @param elapsed time since the statement arrived from the client
 */
public record RelayContext(
    Route route,
    Optional<TeamId> team,
    Optional<ApiKey> key,
    long configurationVersion,
    Map<String, String> values,
    Position lastWrite,
    Duration elapsed) {
  /** Copies the values. */
  public RelayContext {
    Checks.notNull("route", route);
    Checks.notNull("team", team);
    Checks.notNull("key", key);
    Checks.notNull("position of the last write", lastWrite);
    Checks.notNegative("elapsed time in milliseconds", elapsed.toMillis());
    values = Map.copyOf(values);
  }
}

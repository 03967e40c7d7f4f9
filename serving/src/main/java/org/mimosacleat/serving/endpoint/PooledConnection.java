package org.mimosacleat.serving.endpoint;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.statement.PreparedShape;

/**
 * A pooled connection with the session values and prepared statements that earlier sessions left on
 * it. Used by one session at a time.
 */
final class PooledConnection {
  /** A connection with more prepared statements is reset before its next use. */
  private static final int MAX_PREPARED = 256;

  private final EndpointConnection connection;
  private final Optional<TeamId> team;
  private final Instant openedAt;
  private final Map<String, String> values = new HashMap<>();
  private final Set<PreparedShape> prepared = new HashSet<>();

  PooledConnection(EndpointConnection connection, Optional<TeamId> team, Instant openedAt) {
    this.connection = connection;
    this.team = team;
    this.openedAt = openedAt;
  }

  /** Returns the team to which the connection is bound; empty if to none. */
  Optional<TeamId> team() {
    return team;
  }

  /** Returns a moment at which the connection was open already. */
  Instant openedAt() {
    return openedAt;
  }

  EndpointConnection connection() {
    return connection;
  }

  /** Returns whether the connection has exactly these values, so that none has to change. */
  boolean hasValues(Map<String, String> sessionValues) {
    return values.equals(sessionValues);
  }

  /** Returns whether these values can be reached by setting values, without a reset. */
  boolean canAdopt(Map<String, String> sessionValues) {
    return sessionValues.keySet().containsAll(values.keySet());
  }

  /** Returns the commands to send first for a session, and records their effect as applied. */
  List<EndpointCommand> prepareFor(
      Map<String, String> sessionValues, Optional<PreparedShape> shape) {
    List<EndpointCommand> commands = new ArrayList<>();
    if (!canAdopt(sessionValues) || prepared.size() > MAX_PREPARED) {
      commands.add(new EndpointCommand.Reset());
      values.clear();
      prepared.clear();
    }
    sessionValues.forEach((name, value) -> addValue(commands, name, value));
    if (shape.isPresent() && prepared.add(shape.get())) {
      commands.add(new EndpointCommand.Prepare(shape.get()));
    }
    return commands;
  }

  private void addValue(List<EndpointCommand> commands, String name, String value) {
    if (!value.equals(values.put(name, value))) {
      commands.add(new EndpointCommand.SetValue(name, value));
    }
  }
}

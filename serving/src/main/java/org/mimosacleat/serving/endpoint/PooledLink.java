package org.mimosacleat.serving.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.serving.statement.PreparedShape;

/** A connection of a pool with what earlier sessions left on it; used by one session at a time. */
final class PooledLink {
  /** More prepared statements than this are cleared rather than kept. */
  private static final int MAXIMUM_PREPARED = 256;

  private final EndpointLink link;
  private final Map<String, String> values = new HashMap<>();
  private final Set<PreparedShape> prepared = new HashSet<>();

  PooledLink(EndpointLink link) {
    this.link = link;
  }

  EndpointLink link() {
    return link;
  }

  /** Tells whether the connection carries just these values, so that no reset is due. */
  boolean carries(Map<String, String> sessionValues) {
    return values.equals(sessionValues);
  }

  /** Tells whether setting values is enough to carry these. */
  boolean canCarry(Map<String, String> sessionValues) {
    return sessionValues.keySet().containsAll(values.keySet());
  }

  /** Returns what must be sent first for a session, and takes note of it as done. */
  List<EndpointCommand> prepareFor(
      Map<String, String> sessionValues, Optional<PreparedShape> shape) {
    List<EndpointCommand> commands = new ArrayList<>();
    if (!canCarry(sessionValues) || prepared.size() > MAXIMUM_PREPARED) {
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

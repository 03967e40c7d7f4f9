package org.mimosacleat.serving.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.statement.PreparedShape;

/** The state of a session between statements; used only by the session's thread. */
final class SessionState {
  /** The limit for the values, and also for the prepared statements, of one session. */
  static final int MAXIMUM_NAMES = 1_024;

  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private final Map<GroupId, Position> writes = new HashMap<>();

  Map<String, String> values() {
    return values;
  }

  boolean setValue(String name, String value) {
    if (values.size() >= MAXIMUM_NAMES && !values.containsKey(name)) {
      return false;
    }
    values.put(name, value);
    return true;
  }

  boolean prepare(String name, PreparedShape shape) {
    if (prepared.size() >= MAXIMUM_NAMES && !prepared.containsKey(name)) {
      return false;
    }
    prepared.put(name, shape);
    return true;
  }

  Optional<PreparedShape> shape(String name) {
    return Optional.ofNullable(prepared.get(name));
  }

  boolean deallocate(String name) {
    return prepared.remove(name) != null;
  }

  /** Returns the log position of the session's last write to a group. */
  Position lastWrite(GroupId group) {
    return writes.getOrDefault(group, Position.NONE);
  }

  void wrote(GroupId group, Position position) {
    writes.merge(group, position, Position::latest);
  }
}

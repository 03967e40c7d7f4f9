package org.mimosacleat.serving.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.statement.PreparedShape;

/** What a session keeps between statements; used by the session's thread alone. */
final class SessionState {
  /** The most values, and the most prepared statements, that a session may have. */
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

  /** Returns where the session's last write to a group is. */
  Position lastWrite(GroupId group) {
    return writes.getOrDefault(group, Position.NONE);
  }

  void wrote(GroupId group, Position position) {
    writes.merge(group, position, Position::latest);
  }
}

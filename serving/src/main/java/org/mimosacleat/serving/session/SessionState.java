package org.mimosacleat.serving.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.fleet.ApiKey;
import org.mimosacleat.serving.statement.PreparedShape;

/** The state of a session between statements; used only by the session's thread. */
final class SessionState {
  /** The limit for the values, and also for the prepared statements, of one session. */
  static final int MAX_NAMES = 1_024;

  /** The limit for all values of one session together, names included. */
  static final int MAX_VALUE_CHARACTERS = 2 * 1024 * 1024;

  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> preparedStatements = new HashMap<>();
  private final Map<GroupId, Position> lastWrites = new HashMap<>();
  private final Optional<ApiKey> key;
  private Optional<TeamId> team = Optional.empty();
  private int valueCharacters;
  private long configurationVersion;

  /** Creates the state of a session whose caller sent this key, if any. */
  SessionState(Optional<ApiKey> key) {
    this.key = key;
  }

  /** Returns the key that the session's caller sent, if any. */
  Optional<ApiKey> key() {
    return key;
  }

  /** Returns the team of the session's caller; empty if the caller has none. */
  Optional<TeamId> team() {
    return team;
  }

  /** Returns the version of the configuration by which the caller was last admitted. */
  long configurationVersion() {
    return configurationVersion;
  }

  /** Records the caller's team by a version of the configuration. */
  void admit(Optional<TeamId> current, long version) {
    team = current;
    configurationVersion = version;
  }

  /** Takes over the values of a session on another proxy. */
  void replaceValues(Map<String, String> others) {
    values.clear();
    values.putAll(others);
  }

  Map<String, String> values() {
    return values;
  }

  boolean setValue(String name, String value) {
    String replaced = values.get(name);
    int before = replaced == null ? 0 : name.length() + replaced.length();
    int after = valueCharacters - before + name.length() + value.length();
    boolean tooMany = replaced == null && values.size() >= MAX_NAMES;
    if (tooMany || after > MAX_VALUE_CHARACTERS) {
      return false;
    }
    values.put(name, value);
    valueCharacters = after;
    return true;
  }

  boolean prepare(String name, PreparedShape shape) {
    if (preparedStatements.size() >= MAX_NAMES && !preparedStatements.containsKey(name)) {
      return false;
    }
    preparedStatements.put(name, shape);
    return true;
  }

  Optional<PreparedShape> shape(String name) {
    return Optional.ofNullable(preparedStatements.get(name));
  }

  boolean deallocate(String name) {
    return preparedStatements.remove(name) != null;
  }

  /** Returns the log position of the session's last write to a group. */
  Position lastWrite(GroupId group) {
    return lastWrites.getOrDefault(group, Position.NONE);
  }

  void recordWrite(GroupId group, Position position) {
    lastWrites.merge(group, position, Position::latest);
  }
}

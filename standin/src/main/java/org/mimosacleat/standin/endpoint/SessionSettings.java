package org.mimosacleat.standin.endpoint;

import java.util.HashMap;
import java.util.Map;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/** The settings of one session, which override the defaults and those of its instance. */
final class SessionSettings {
  static final String SERVER_VERSION = "16.0";

  private static final Map<String, String> DEFAULTS =
      Map.of(
          "server_version", SERVER_VERSION,
          "client_encoding", "UTF8",
          "datestyle", "ISO, MDY",
          "timezone", "UTC",
          "integer_datetimes", "on",
          "standard_conforming_strings", "on",
          "transaction_isolation", "read committed",
          "search_path", "public");

  private final InstanceState state;
  private final Map<String, String> values = new HashMap<>();

  SessionSettings(InstanceState state) {
    this.state = state;
  }

  void set(String name, String value) {
    values.put(name, value);
  }

  void reset(String name) {
    values.remove(name);
  }

  void resetAll() {
    values.clear();
  }

  boolean isReadOnly() {
    return "on".equals(values.get(EndpointStatements.READ_ONLY_SETTING));
  }

  /** Returns the value of a setting, or null if it has none. */
  String get(String name) {
    return switch (name) {
      case EndpointStatements.FENCE_TERM_SETTING -> state.fence().map(Term::toString).orElse(null);
      case EndpointStatements.HOME_TOKEN_SETTING -> Long.toString(state.homeFence().highest());
      case EndpointStatements.PREVIOUS_HOME_TOKEN_SETTING ->
          Long.toString(state.homeFence().previous());
      case EndpointStatements.PRIMARY_SETTING -> state.upstream();
      case "in_hot_standby" -> onOff(state.isReplica());
      case EndpointStatements.READ_ONLY_SETTING -> onOff(state.isReadOnly() || isReadOnly());
      case "transaction_read_only" ->
          onOff(state.isReplica() || state.isReadOnly() || isReadOnly());
      default -> values.getOrDefault(name, DEFAULTS.get(name));
    };
  }

  private static String onOff(boolean on) {
    return on ? "on" : "off";
  }
}

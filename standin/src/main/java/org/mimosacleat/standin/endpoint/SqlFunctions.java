package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.List;

/** Evaluates the functions that a SELECT without a table can call. */
final class SqlFunctions {
  private static final String TRUE = "t";
  private static final String FALSE = "f";
  private static final String SLEEP = "pg_sleep";
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final InstanceState state;
  private final SessionSettings settings;
  private final Runnable wakeReplicators;

  SqlFunctions(InstanceState state, SessionSettings settings, Runnable wakeReplicators) {
    this.state = state;
    this.settings = settings;
    this.wakeReplicators = wakeReplicators;
  }

  /** Returns whether the function runs without occupying a slot. */
  static boolean isAdministrative(String function) {
    return !function.equals(SLEEP);
  }

  String call(String function, List<String> arguments)
      throws SqlStateException, InterruptedException {
    return switch (function) {
      case "pg_is_in_recovery" -> state.isReplica() ? TRUE : FALSE;
      case "pg_current_wal_lsn" -> currentPosition();
      case "pg_last_wal_receive_lsn" ->
          nullUnlessReplica(state.status().received().log().toString());
      case "pg_last_wal_replay_lsn" ->
          nullUnlessReplica(state.status().replayed().log().toString());
      case "current_setting" -> currentSetting(arguments);
      case "pg_promote" -> promote();
      case "pg_reload_conf" -> reload();
      case SLEEP -> sleep(arguments);
      case "version" -> "PostgreSQL " + SessionSettings.SERVER_VERSION + " (stand-in)";
      default ->
          throw new SqlStateException(
              SqlStateException.UNDEFINED_FUNCTION, "function " + function + " does not exist");
    };
  }

  private String currentPosition() throws SqlStateException {
    if (state.isReplica()) {
      throw new SqlStateException(
          SqlStateException.NOT_IN_PREREQUISITE_STATE, "recovery is in progress");
    }
    return state.status().replayed().log().toString();
  }

  private String nullUnlessReplica(String position) {
    return state.isReplica() ? position : null;
  }

  private String currentSetting(List<String> arguments) throws SqlStateException {
    if (arguments.isEmpty()) {
      throw new SqlStateException(
          SqlStateException.UNDEFINED_FUNCTION, "current_setting requires the name of a setting");
    }
    String value = settings.get(arguments.getFirst());
    boolean missingAllowed = arguments.size() > 1 && TRUE.equals(arguments.get(1));
    if (value == null && !missingAllowed) {
      throw unknownSetting(arguments.getFirst());
    }
    return value;
  }

  static SqlStateException unknownSetting(String name) {
    return new SqlStateException(
        SqlStateException.UNDEFINED_OBJECT,
        "unrecognized configuration parameter \"" + name + "\"");
  }

  private String promote() throws SqlStateException {
    state.promote();
    wakeReplicators.run();
    return TRUE;
  }

  private String reload() {
    state.reload();
    wakeReplicators.run();
    return TRUE;
  }

  private static String sleep(List<String> arguments)
      throws SqlStateException, InterruptedException {
    try {
      double seconds = Double.parseDouble(arguments.getFirst());
      Thread.sleep(Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND)));
      return "";
    } catch (NumberFormatException | java.util.NoSuchElementException malformed) {
      throw new SqlStateException(
          SqlStateException.INVALID_TEXT_REPRESENTATION,
          "pg_sleep requires a number of seconds, but got " + arguments);
    }
  }
}

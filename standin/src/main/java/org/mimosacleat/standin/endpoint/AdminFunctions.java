package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.List;

/** The functions that a SELECT without a table may call. */
final class AdminFunctions {
  private static final String TRUE = "t";
  private static final String FALSE = "f";
  private static final String SLEEP = "pg_sleep";
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final InstanceState state;
  private final SessionSettings settings;
  private final Runnable wakeFollowers;

  AdminFunctions(InstanceState state, SessionSettings settings, Runnable wakeFollowers) {
    this.state = state;
    this.settings = settings;
    this.wakeFollowers = wakeFollowers;
  }

  /** Tells whether a call of the function runs without a slot. */
  static boolean isAdministrative(String function) {
    return !function.equals(SLEEP);
  }

  String call(String function, List<String> arguments) throws SqlError, InterruptedException {
    return switch (function) {
      case "pg_is_in_recovery" -> state.isReplica() ? TRUE : FALSE;
      case "pg_current_wal_lsn" -> currentPosition();
      case "pg_last_wal_receive_lsn" -> ifReplica(state.status().received().log().toString());
      case "pg_last_wal_replay_lsn" -> ifReplica(state.status().replayed().log().toString());
      case "current_setting" -> currentSetting(arguments);
      case "pg_promote" -> promote();
      case "pg_reload_conf" -> reload();
      case SLEEP -> sleep(arguments);
      case "version" -> "PostgreSQL " + SessionSettings.SERVER_VERSION + " (stand-in)";
      default ->
          throw new SqlError(
              SqlError.UNDEFINED_FUNCTION, "function " + function + " does not exist");
    };
  }

  private String currentPosition() throws SqlError {
    if (state.isReplica()) {
      throw new SqlError(SqlError.WRONG_STATE, "recovery is in progress");
    }
    return state.status().replayed().log().toString();
  }

  private String ifReplica(String position) {
    return state.isReplica() ? position : null;
  }

  private String currentSetting(List<String> arguments) throws SqlError {
    if (arguments.isEmpty()) {
      throw new SqlError(SqlError.UNDEFINED_FUNCTION, "current_setting needs a name");
    }
    String value = settings.get(arguments.getFirst());
    boolean missingAllowed = arguments.size() > 1 && TRUE.equals(arguments.get(1));
    if (value == null && !missingAllowed) {
      throw unknownSetting(arguments.getFirst());
    }
    return value;
  }

  static SqlError unknownSetting(String name) {
    return new SqlError(
        SqlError.UNDEFINED_OBJECT, "unrecognized configuration parameter \"" + name + "\"");
  }

  private String promote() throws SqlError {
    state.promote();
    wakeFollowers.run();
    return TRUE;
  }

  private String reload() {
    state.reload();
    wakeFollowers.run();
    return TRUE;
  }

  private static String sleep(List<String> arguments) throws SqlError, InterruptedException {
    try {
      double seconds = Double.parseDouble(arguments.getFirst());
      Thread.sleep(Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND)));
      return "";
    } catch (NumberFormatException | java.util.NoSuchElementException malformed) {
      throw new SqlError(SqlError.INVALID_TEXT, "pg_sleep needs a number, not " + arguments);
    }
  }
}

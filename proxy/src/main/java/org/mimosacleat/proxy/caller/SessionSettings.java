package org.mimosacleat.proxy.caller;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The settings that a session has made, as the statements that make them again on another
 * connection. Of several statements for one name the last counts.
 */
final class SessionSettings {
  /** The most settings that a session may change. */
  static final int MAXIMUM_COUNT = 64;

  private static final Pattern NAME =
      Pattern.compile(
          "\\s*(?:set|reset)\\s+(?:session\\s+)?(time\\s+zone|names|role|[\\w.]+).*",
          Pattern.CASE_INSENSITIVE | Pattern.DOTALL);

  private final Map<String, String> statements = new TreeMap<>();

  /** Records a setting that the client gave when it connected. */
  void putOption(String name, String value) {
    String quoted = value.replace("'", "''");
    statements.put(name.toLowerCase(Locale.ROOT), "SET " + name + " = '" + quoted + "'");
  }

  /** Records a statement that an endpoint has accepted. */
  void put(String statement) {
    Matcher matcher = NAME.matcher(statement);
    if (!matcher.matches()) {
      return;
    }
    String name = matcher.group(1).toLowerCase(Locale.ROOT);
    if (statement.strip().toLowerCase(Locale.ROOT).startsWith("reset")) {
      reset(name);
    } else {
      statements.put(name, trimmed(statement));
    }
  }

  boolean isFull() {
    return statements.size() >= MAXIMUM_COUNT;
  }

  /** Returns the statements in a fixed order, so that equal settings compare as equal. */
  List<String> statements() {
    return List.copyOf(statements.values());
  }

  private void reset(String name) {
    if (name.equals("all")) {
      statements.clear();
    } else {
      statements.remove(name);
    }
  }

  private static String trimmed(String statement) {
    String stripped = statement.strip();
    return stripped.endsWith(";") ? stripped.substring(0, stripped.length() - 1) : stripped;
  }
}

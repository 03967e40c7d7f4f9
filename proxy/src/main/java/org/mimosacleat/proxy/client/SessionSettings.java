package org.mimosacleat.proxy.client;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The settings that a session has changed, as statements that apply them to another connection.
 * Only the last statement for each name is kept.
 */
final class SessionSettings {
  /** Maximum number of settings that a session may change. */
  static final int MAXIMUM_COUNT = 64;

  private static final Pattern NAME =
      Pattern.compile(
          "\\s*(?:set|reset)\\s+(?:session\\s+)?(time\\s+zone|names|role|[\\w.]+).*",
          Pattern.CASE_INSENSITIVE | Pattern.DOTALL);

  private final Map<String, String> statements = new TreeMap<>();

  /** Records a setting from the startup packet. */
  void recordStartupOption(String name, String value) {
    String quoted = value.replace("'", "''");
    statements.put(name.toLowerCase(Locale.ROOT), "SET " + name + " = '" + quoted + "'");
  }

  /** Records a statement that an endpoint has accepted. */
  void recordStatement(String statement) {
    Matcher matcher = NAME.matcher(statement);
    if (!matcher.matches()) {
      return;
    }
    String name = matcher.group(1).toLowerCase(Locale.ROOT);
    if (statement.strip().toLowerCase(Locale.ROOT).startsWith("reset")) {
      reset(name);
    } else {
      statements.put(name, withoutSemicolon(statement));
    }
  }

  boolean isFull() {
    return statements.size() >= MAXIMUM_COUNT;
  }

  /** Returns the statements, ordered by setting name so that lists can be compared. */
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

  private static String withoutSemicolon(String statement) {
    String stripped = statement.strip();
    return stripped.endsWith(";") ? stripped.substring(0, stripped.length() - 1) : stripped;
  }
}

package org.mimosacleat.proxy.client;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Extracts settings from the parameters of a startup packet, including its {@code options}. */
final class StartupOptions {
  private static final Pattern OPTION =
      Pattern.compile("(?:-c\\s*|--)([\\w.]+)=((?:\\\\.|[^\\s\\\\])*)");

  private StartupOptions() {}

  /** Returns the settings by name, without user, database, replication and protocol options. */
  static Map<String, String> settings(Map<String, String> parameters) {
    Map<String, String> settings = new LinkedHashMap<>();
    parameters.forEach(
        (name, value) -> {
          if (name.equals("options")) {
            addOptions(settings, value);
          } else if (!isConnectionParameter(name)) {
            settings.put(name, value);
          }
        });
    return settings;
  }

  private static boolean isConnectionParameter(String name) {
    return name.equals("user")
        || name.equals("database")
        || name.equals("replication")
        || name.startsWith("_pq_.");
  }

  private static void addOptions(Map<String, String> settings, String options) {
    Matcher matcher = OPTION.matcher(options);
    while (matcher.find()) {
      settings.put(matcher.group(1), matcher.group(2).replaceAll("\\\\(.)", "$1"));
    }
  }
}

package org.mimosacleat.proxy.client;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A SET statement for one of the proxy's own settings, which the proxy answers without an endpoint.
 *
 * @param name the name without the prefix
 * @param value the new value
 */
record HintStatement(String name, String value) {
  private static final Pattern PATTERN =
      Pattern.compile(
          "\\s*set\\s+(?:session\\s+)?mimosacleat\\.(\\w+)\\s*(?:=|\\s+to\\s)\\s*"
              + "(?:'((?:[^']|'')*)'|([^\\s;']+))\\s*;?\\s*",
          Pattern.CASE_INSENSITIVE);

  /** Parses {@code text}; empty if it is anything other than a single statement of this kind. */
  static Optional<HintStatement> parse(String text) {
    Matcher matcher = PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String quoted = matcher.group(2);
    String value = quoted == null ? matcher.group(3) : quoted.replace("''", "'");
    return Optional.of(
        new HintStatement(matcher.group(1).toLowerCase(java.util.Locale.ROOT), value));
  }
}

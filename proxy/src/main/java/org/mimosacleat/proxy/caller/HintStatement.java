package org.mimosacleat.proxy.caller;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A statement that sets one of the proxy's own settings; it is answered without an endpoint.
 *
 * @param name the name without the prefix
 * @param value the new value
 */
record HintStatement(String name, String value) {
  private static final Pattern FORM =
      Pattern.compile(
          "\\s*set\\s+(?:session\\s+)?mimosacleat\\.(\\w+)\\s*(?:=|\\s+to\\s)\\s*"
              + "(?:'((?:[^']|'')*)'|([^\\s;']+))\\s*;?\\s*",
          Pattern.CASE_INSENSITIVE);

  /** Returns the setting if {@code text} is such a statement and nothing else. */
  static Optional<HintStatement> parse(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String quoted = matcher.group(2);
    String value = quoted == null ? matcher.group(3) : quoted.replace("''", "'");
    return Optional.of(
        new HintStatement(matcher.group(1).toLowerCase(java.util.Locale.ROOT), value));
  }
}

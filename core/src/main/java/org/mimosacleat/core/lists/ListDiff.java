package org.mimosacleat.core.lists;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.mimosacleat.core.settings.IniEntry;
import org.mimosacleat.core.settings.IniReader;
import org.mimosacleat.core.settings.IniSection;

/** Compares two texts of a list by sections and keys; ignores comments and order. */
public final class ListDiff {
  private static final String VERIFIER_KEY = "scram-verifier";

  private ListDiff() {}

  /** Returns the differences sorted by section and key; values of SCRAM verifiers are hidden. */
  public static List<ListChange> between(String before, String after) {
    Map<String, Map<String, String>> first = valuesBySection(before);
    Map<String, Map<String, String>> second = valuesBySection(after);
    Set<String> headers = new LinkedHashSet<>(first.keySet());
    headers.addAll(second.keySet());
    List<ListChange> changes = new ArrayList<>();
    for (String header : headers.stream().sorted().toList()) {
      compare(header, first.get(header), second.get(header), changes);
    }
    return changes;
  }

  private static void compare(
      String header,
      Map<String, String> before,
      Map<String, String> after,
      List<ListChange> changes) {
    Map<String, String> first = before == null ? Map.of() : before;
    Map<String, String> second = after == null ? Map.of() : after;
    Set<String> keys = new LinkedHashSet<>(first.keySet());
    keys.addAll(second.keySet());
    for (String key : keys.stream().sorted().toList()) {
      if (!Objects.equals(first.get(key), second.get(key))) {
        changes.add(
            new ListChange(
                header,
                key,
                displayedValue(key, first.get(key)),
                displayedValue(key, second.get(key))));
      }
    }
  }

  private static Optional<String> displayedValue(String key, String value) {
    boolean isSecret = value != null && key.equals(VERIFIER_KEY);
    return isSecret ? Optional.of("(hidden)") : Optional.ofNullable(value);
  }

  private static Map<String, Map<String, String>> valuesBySection(String text) {
    Map<String, Map<String, String>> values = new TreeMap<>();
    for (IniSection section : IniReader.parse(text).sections()) {
      Map<String, String> entries = new TreeMap<>();
      for (IniEntry entry : section.entries()) {
        entries.put(entry.key(), entry.value());
      }
      values.put(section.header(), entries);
    }
    return values;
  }
}

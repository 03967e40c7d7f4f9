package org.mimosacleat.core.lists;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.settings.IniEntry;
import org.mimosacleat.core.settings.IniReader;
import org.mimosacleat.core.settings.IniSection;

/** Edits the text of a list and preserves all other lines, including comments. */
public final class ListEditor {
  private ListEditor() {}

  /** Returns {@code text} with a key set; adds the key or the section if it is missing. */
  public static String set(String text, String header, String key, String value) {
    String entry = requireSingleLine("key", key) + " = " + requireSingleLine("value", value);
    List<String> lines = new ArrayList<>(text.lines().toList());
    Optional<IniSection> section = findSection(text, header);
    if (section.isEmpty()) {
      if (!lines.isEmpty()) {
        lines.add("");
      }
      lines.add("[" + requireSingleLine("section", header) + "]");
      lines.add(entry);
      return joinLines(lines);
    }
    Optional<IniEntry> existing = findEntry(section.get(), key);
    if (existing.isPresent()) {
      lines.set(existing.get().line() - 1, entry);
    } else {
      lines.add(lastLine(section.get()), entry);
    }
    return joinLines(lines);
  }

  /** Returns {@code text} without a key; unchanged if the key is missing. */
  public static String remove(String text, String header, String key) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    findSection(text, header)
        .flatMap(section -> findEntry(section, key))
        .ifPresent(existing -> lines.remove(existing.line() - 1));
    return joinLines(lines);
  }

  /** Returns {@code text} without a section; unchanged if the section is missing. */
  public static String removeSection(String text, String header) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    findSection(text, header)
        .ifPresent(section -> lines.subList(section.line() - 1, lastLine(section)).clear());
    return joinLines(lines);
  }

  private static Optional<IniSection> findSection(String text, String header) {
    return IniReader.parse(text).sections().stream()
        .filter(section -> section.header().equals(header))
        .findFirst();
  }

  private static Optional<IniEntry> findEntry(IniSection section, String key) {
    return section.entries().stream().filter(entry -> entry.key().equals(key)).findFirst();
  }

  private static int lastLine(IniSection section) {
    return section.entries().isEmpty() ? section.line() : section.entries().getLast().line();
  }

  private static String requireSingleLine(String label, String text) {
    Checks.notNull(label, text);
    if (text.lines().count() > 1) {
      throw new IllegalArgumentException(label + " must be a single line, but was '" + text + "'");
    }
    return text.strip();
  }

  private static String joinLines(List<String> lines) {
    return lines.isEmpty() ? "" : String.join("\n", lines) + "\n";
  }
}

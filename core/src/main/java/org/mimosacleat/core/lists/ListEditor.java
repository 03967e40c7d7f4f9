package org.mimosacleat.core.lists;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.settings.IniEntry;
import org.mimosacleat.core.settings.IniSection;
import org.mimosacleat.core.settings.IniText;

/** Changes one key of a list's text and leaves every other line, comments included, as it is. */
public final class ListEditor {
  private ListEditor() {}

  /** Returns {@code text} with a key set; the key or the section is added if it is not there. */
  public static String set(String text, String header, String key, String value) {
    String entry = oneLine("key", key) + " = " + oneLine("value", value);
    List<String> lines = new ArrayList<>(text.lines().toList());
    Optional<IniSection> section = section(text, header);
    if (section.isEmpty()) {
      if (!lines.isEmpty()) {
        lines.add("");
      }
      lines.add("[" + oneLine("section", header) + "]");
      lines.add(entry);
      return joined(lines);
    }
    Optional<IniEntry> present = entry(section.get(), key);
    if (present.isPresent()) {
      lines.set(present.get().line() - 1, entry);
    } else {
      lines.add(lastLine(section.get()), entry);
    }
    return joined(lines);
  }

  /** Returns {@code text} without a key; a key that is not there changes nothing. */
  public static String remove(String text, String header, String key) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    section(text, header)
        .flatMap(section -> entry(section, key))
        .ifPresent(present -> lines.remove(present.line() - 1));
    return joined(lines);
  }

  /** Returns {@code text} without a section; a section that is not there changes nothing. */
  public static String removeSection(String text, String header) {
    List<String> lines = new ArrayList<>(text.lines().toList());
    section(text, header)
        .ifPresent(section -> lines.subList(section.line() - 1, lastLine(section)).clear());
    return joined(lines);
  }

  private static Optional<IniSection> section(String text, String header) {
    return IniText.parse(text).sections().stream()
        .filter(section -> section.header().equals(header))
        .findFirst();
  }

  private static Optional<IniEntry> entry(IniSection section, String key) {
    return section.entries().stream().filter(entry -> entry.key().equals(key)).findFirst();
  }

  private static int lastLine(IniSection section) {
    return section.entries().isEmpty() ? section.line() : section.entries().getLast().line();
  }

  private static String oneLine(String label, String text) {
    Checks.notNull(label, text);
    if (text.lines().count() > 1) {
      throw new IllegalArgumentException(label + " must be one line, but was '" + text + "'");
    }
    return text.strip();
  }

  private static String joined(List<String> lines) {
    return lines.isEmpty() ? "" : String.join("\n", lines) + "\n";
  }
}

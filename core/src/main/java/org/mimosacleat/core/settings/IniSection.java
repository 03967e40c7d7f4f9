package org.mimosacleat.core.settings;

import java.util.List;
import org.mimosacleat.core.check.Checks;

/**
 * One section of an INI document.
 *
 * @param header the text between the brackets
 * @param line the line number of the header, starting at 1
 * @param entries the entries in the order of the text
 */
public record IniSection(String header, int line, List<IniEntry> entries) {
  /** Validates the components. */
  public IniSection {
    Checks.notNull("header", header);
    Checks.positive("line", line);
    entries = List.copyOf(entries);
  }
}

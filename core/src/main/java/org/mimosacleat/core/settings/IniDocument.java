package org.mimosacleat.core.settings;

import java.util.List;

/**
 * The sections of an INI text, and the lines that could not be parsed.
 *
 * @param sections the sections in the order of the text
 * @param problems one problem for each line that could not be parsed
 */
public record IniDocument(List<IniSection> sections, List<SettingsProblem> problems) {
  /** Copies the lists. */
  public IniDocument {
    sections = List.copyOf(sections);
    problems = List.copyOf(problems);
  }
}

package org.mimosacleat.core.settings;

import java.util.List;
import java.util.Optional;

/**
 * The schema of a settings text.
 *
 * @param sections the allowed kinds of section
 */
public record SettingsSchema(List<SectionSchema> sections) {
  /** Copies the list. */
  public SettingsSchema {
    sections = List.copyOf(sections);
  }

  /** Returns the schema of a kind of section, if it exists. */
  public Optional<SectionSchema> section(String kind) {
    return sections.stream().filter(section -> section.kind().equals(kind)).findFirst();
  }

  /** Returns the header forms of all sections. */
  public List<String> headerForms() {
    return sections.stream().map(SectionSchema::headerForm).toList();
  }

  /** Returns the kinds of all sections. */
  public List<String> kinds() {
    return sections.stream().map(SectionSchema::kind).toList();
  }
}

package org.mimosacleat.core.settings;

import java.util.List;

/**
 * A settings text that has passed every check.
 *
 * @param sections the sections in the order of the text, then the absent ones of defaults alone
 */
public record Settings(List<SettingsSection> sections) {
  /** Copies the list. */
  public Settings {
    sections = List.copyOf(sections);
  }

  /**
   * Returns the one section of a kind that stands alone.
   *
   * @throws IllegalArgumentException if the schema has no such section
   */
  public SettingsSection section(String kind) {
    return sections.stream()
        .filter(section -> section.kind().equals(kind))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("there is no section [" + kind + "]"));
  }

  /** Returns the named sections of a kind in the order of the text. */
  public List<SettingsSection> sections(String kind) {
    return sections.stream().filter(section -> section.kind().equals(kind)).toList();
  }

  /** Returns the value of a setting of a section that stands alone. */
  public <T> T get(String kind, Setting<T> setting) {
    return section(kind).get(setting);
  }
}

package org.mimosacleat.core.settings;

import java.util.List;

/**
 * The validated content of a settings text.
 *
 * @param sections the sections in the order of the text, followed by absent single sections with
 *     their defaults
 */
public record Settings(List<SettingsSection> sections) {
  /** Copies the list. */
  public Settings {
    sections = List.copyOf(sections);
  }

  /**
   * Returns the single section of a kind.
   *
   * @throws IllegalArgumentException if the schema has no such section
   */
  public SettingsSection section(String kind) {
    return sections.stream()
        .filter(section -> section.kind().equals(kind))
        .findFirst()
        .orElseThrow(
            () -> new IllegalArgumentException("the settings have no section [" + kind + "]"));
  }

  /** Returns the named sections of a kind in the order of the text. */
  public List<SettingsSection> sections(String kind) {
    return sections.stream().filter(section -> section.kind().equals(kind)).toList();
  }

  /** Returns the value of a setting of a single section. */
  public <T> T get(String kind, Setting<T> setting) {
    return section(kind).get(setting);
  }
}

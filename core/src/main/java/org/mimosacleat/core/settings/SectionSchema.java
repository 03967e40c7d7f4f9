package org.mimosacleat.core.settings;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;

/**
 * The keys allowed in a kind of section.
 *
 * @param kind the first word of the header
 * @param form whether the section is single or named
 * @param description one sentence for the operator
 * @param settings the keys
 */
public record SectionSchema(
    String kind, SectionForm form, String description, List<Setting<?>> settings) {
  /** Validates the components. */
  public SectionSchema {
    Checks.name("section", kind);
    Checks.notNull("form", form);
    Checks.notNull("description", description);
    settings = List.copyOf(settings);
  }

  /** Returns the setting with this key. */
  public Optional<Setting<?>> setting(String key) {
    for (Setting<?> setting : settings) {
      if (setting.key().equals(key)) {
        return Optional.of(setting);
      }
    }
    return Optional.empty();
  }

  /** Returns the keys in declaration order. */
  public List<String> keys() {
    return settings.stream().<String>map(Setting::key).toList();
  }

  /** Returns the header as an operator writes it, without brackets. */
  public String headerForm() {
    return form == SectionForm.NAMED ? kind + " NAME" : kind;
  }
}

package org.mimosacleat.core.settings;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;

/**
 * One key of a section: its type, its default and what it is for. Keep it in a constant, list it in
 * a {@link SectionSchema}, and read its value with {@link SettingsSection#get}.
 *
 * @param <T> the Java type of the value
 * @param key the key in the text
 * @param type how the value is read and what is allowed
 * @param defaultText the text used when the key is absent; empty if the key must be given
 * @param description one sentence for the operator
 */
public record Setting<T>(
    String key, ValueType<T> type, Optional<String> defaultText, String description) {
  /** Checks the parts, and that the default is itself allowed. */
  public Setting {
    Checks.name("key", key);
    Checks.notNull("type", type);
    Checks.notNull("description", description);
    if (defaultText.isPresent() && type.parse(defaultText.get()).isLeft()) {
      throw new IllegalArgumentException(
          "default of " + key + " is not allowed: '" + defaultText.get() + "'");
    }
  }

  /** Declares a key that must be given. */
  public static <T> Setting<T> required(String key, ValueType<T> type, String description) {
    return new Setting<>(key, type, Optional.empty(), description);
  }

  /** Declares a key with a default. */
  public static <T> Setting<T> withDefault(
      String key, ValueType<T> type, String defaultText, String description) {
    return new Setting<>(key, type, Optional.of(defaultText), description);
  }

  /** Declares a key that may be left out. */
  public static <T> Setting<Optional<T>> optional(
      String key, ValueType<T> type, String description) {
    return new Setting<>(key, new OptionalType<>(type), Optional.of(""), description);
  }
}

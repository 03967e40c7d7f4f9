package org.mimosacleat.core.settings;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;

/**
 * A key of a section with its type, default and description. Declare it as a constant, list it in a
 * {@link SectionSchema}, and read its value with {@link SettingsSection#get}.
 *
 * @param <T> the Java type of the value
 * @param key the key in the text
 * @param type the type that parses and validates the value
 * @param defaultText the text used when the key is absent; empty if the key is required
 * @param description one sentence for the operator
 */
public record Setting<T>(
    String key, ValueType<T> type, Optional<String> defaultText, String description) {
  /** Validates the components, including that the default is an allowed value. */
  public Setting {
    Checks.name("key", key);
    Checks.notNull("type", type);
    Checks.notNull("description", description);
    if (defaultText.isPresent() && type.parse(defaultText.get()).isLeft()) {
      throw new IllegalArgumentException(
          "default of " + key + " is not an allowed value: '" + defaultText.get() + "'");
    }
  }

  /** Declares a required key. */
  public static <T> Setting<T> required(String key, ValueType<T> type, String description) {
    return new Setting<>(key, type, Optional.empty(), description);
  }

  /** Declares a key with a default. */
  public static <T> Setting<T> withDefault(
      String key, ValueType<T> type, String defaultText, String description) {
    return new Setting<>(key, type, Optional.of(defaultText), description);
  }

  /** Declares an optional key. */
  public static <T> Setting<Optional<T>> optional(
      String key, ValueType<T> type, String description) {
    return new Setting<>(key, new OptionalType<>(type), Optional.of(""), description);
  }
}

package org.mimosacleat.core.settings;

import io.vavr.control.Either;

/**
 * The type of a setting. Parses the value and describes which values are allowed.
 *
 * @param <T> the Java type of the value
 */
public sealed interface ValueType<T>
    permits AddressType,
        ChoiceType,
        DecimalType,
        DurationType,
        BooleanType,
        InstantType,
        ListType,
        OptionalType,
        SecretPatternType,
        SecretType,
        TextType,
        UriType,
        WholeNumberType {
  /** Returns the parsed value, or {@link #allowed()} as the left value. */
  Either<String, T> parse(String text);

  /** Returns a description of the allowed values, with unit and range. */
  String allowed();

  /** Returns whether the value must be kept out of messages and logs. */
  default boolean isSecret() {
    return false;
  }
}

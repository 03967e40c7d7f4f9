package org.mimosacleat.core.settings;

import io.vavr.control.Either;

/**
 * The type of a setting's value: how to read it from text, and what is allowed in words.
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
  /** Returns the value, or on the left what is allowed. */
  Either<String, T> parse(String text);

  /** Returns what is allowed, in words, with unit and range. */
  String allowed();

  /** Tells whether the value must be kept out of messages and logs. */
  default boolean isSecret() {
    return false;
  }
}

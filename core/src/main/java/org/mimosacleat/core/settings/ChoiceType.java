package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A constant of an enum, written in lower case with {@code -} instead of {@code _}.
 *
 * @param <E> the enum
 * @param enumClass the class of the enum
 */
public record ChoiceType<E extends Enum<E>>(Class<E> enumClass) implements ValueType<E> {
  @Override
  public Either<String, E> parse(String text) {
    return Arrays.stream(enumClass.getEnumConstants())
        .filter(choice -> format(choice).equals(text))
        .findFirst()
        .<Either<String, E>>map(Either::right)
        .orElseGet(() -> Either.left(allowed()));
  }

  @Override
  public String allowed() {
    return Arrays.stream(enumClass.getEnumConstants())
        .map(ChoiceType::format)
        .collect(Collectors.joining(", ", "one of ", ""));
  }

  /** Returns a constant as it is written in a settings file. */
  public static String format(Enum<?> choice) {
    return choice.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

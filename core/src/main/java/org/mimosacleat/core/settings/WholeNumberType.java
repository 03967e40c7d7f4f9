package org.mimosacleat.core.settings;

import io.vavr.control.Either;

/**
 * A whole number in a range.
 *
 * @param minimum the smallest allowed value
 * @param maximum the largest allowed value
 * @param unit the name of the unit, or empty
 */
public record WholeNumberType(long minimum, long maximum, String unit) implements ValueType<Long> {
  @Override
  public Either<String, Long> parse(String text) {
    try {
      long value = Long.parseLong(text);
      boolean inRange = value >= minimum && value <= maximum;
      return inRange ? Either.right(value) : Either.left(allowed());
    } catch (NumberFormatException notWhole) {
      return Either.left(allowed());
    }
  }

  @Override
  public String allowed() {
    String range = "a whole number from " + minimum + " to " + maximum;
    return unit.isEmpty() ? range : range + " (" + unit + ")";
  }
}

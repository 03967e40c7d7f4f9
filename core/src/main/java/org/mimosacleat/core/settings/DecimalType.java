package org.mimosacleat.core.settings;

import io.vavr.control.Either;

/**
 * A decimal number in a range.
 *
 * @param minimum the smallest allowed value
 * @param maximum the largest allowed value
 * @param unit the name of the unit, or empty
 */
public record DecimalType(double minimum, double maximum, String unit)
    implements ValueType<Double> {
  @Override
  public Either<String, Double> parse(String text) {
    try {
      double value = Double.parseDouble(text);
      boolean inRange = value >= minimum && value <= maximum;
      return inRange ? Either.right(value) : Either.left(allowed());
    } catch (NumberFormatException notDecimal) {
      return Either.left(allowed());
    }
  }

  @Override
  public String allowed() {
    String range = "a number from " + minimum + " to " + maximum;
    return unit.isEmpty() ? range : range + " (" + unit + ")";
  }
}

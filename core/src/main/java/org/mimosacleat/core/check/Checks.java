package org.mimosacleat.core.check;

/**
 * Checks arguments at the door of a type. Each check returns its argument, or throws an {@link
 * IllegalArgumentException} that names the argument and its value.
 */
public final class Checks {
  /** The longest name that any id may have, in characters. */
  public static final int MAXIMUM_NAME_LENGTH = 128;

  private Checks() {}

  /** Returns {@code value} if it is neither null nor blank and not too long for a name. */
  public static String name(String label, String value) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(label + " must not be blank, but was '" + value + "'");
    }
    if (value.length() > MAXIMUM_NAME_LENGTH) {
      throw new IllegalArgumentException(
          label
              + " must have at most "
              + MAXIMUM_NAME_LENGTH
              + " characters, but has "
              + value.length());
    }
    return value;
  }

  /** Returns {@code value} if it is zero or more. */
  public static long notNegative(String label, long value) {
    return atLeast(label, value, 0);
  }

  /** Returns {@code value} if it is one or more. */
  public static long positive(String label, long value) {
    return atLeast(label, value, 1);
  }

  /** Returns {@code value} if it is {@code minimum} or more. */
  public static long atLeast(String label, long value, long minimum) {
    if (value < minimum) {
      throw new IllegalArgumentException(
          label + " must be at least " + minimum + ", but was " + value);
    }
    return value;
  }

  /** Returns {@code value} if it lies in {@code minimum} to {@code maximum}, both included. */
  public static double between(String label, double value, double minimum, double maximum) {
    if (Double.isNaN(value) || value < minimum || value > maximum) {
      throw new IllegalArgumentException(
          label + " must be between " + minimum + " and " + maximum + ", but was " + value);
    }
    return value;
  }

  /** Returns {@code value} if it is not null. */
  public static <T> T notNull(String label, T value) {
    if (value == null) {
      throw new IllegalArgumentException(label + " must not be null");
    }
    return value;
  }
}

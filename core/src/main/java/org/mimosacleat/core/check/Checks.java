package org.mimosacleat.core.check;

/**
 * Argument checks. Each check returns its argument, or throws an {@link IllegalArgumentException}
 * that names the argument and its value.
 */
public final class Checks {
  /** The maximum length of a name or id, in characters. */
  public static final int MAXIMUM_NAME_LENGTH = 128;

  private Checks() {}

  /**
   * Returns whether {@code value} is not blank and has at most {@value #MAXIMUM_NAME_LENGTH}
   * characters, so that {@link #name} accepts it.
   */
  public static boolean isName(String value) {
    return value != null && !value.isBlank() && value.length() <= MAXIMUM_NAME_LENGTH;
  }

  /**
   * Returns {@code value} if it is not blank and at most {@value #MAXIMUM_NAME_LENGTH} characters.
   */
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

  /** Returns {@code value} if it is at least zero. */
  public static long notNegative(String label, long value) {
    return atLeast(label, value, 0);
  }

  /** Returns {@code value} if it is at least one. */
  public static long positive(String label, long value) {
    return atLeast(label, value, 1);
  }

  /** Returns {@code value} if it is at least {@code minimum}. */
  public static long atLeast(String label, long value, long minimum) {
    if (value < minimum) {
      throw new IllegalArgumentException(
          label + " must be at least " + minimum + ", but was " + value);
    }
    return value;
  }

  /** Returns {@code value} if it is between {@code minimum} and {@code maximum}, inclusive. */
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

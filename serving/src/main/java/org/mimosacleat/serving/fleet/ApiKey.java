package org.mimosacleat.serving.fleet;

/**
 * The secret by which a caller proves that it belongs to a team.
 *
 * @param value the key, not empty
 */
public record ApiKey(String value) {
  private static final String MASK = "***";
  private static final int VISIBLE_CHARACTERS = 2;

  /** A shorter key is masked as a whole: two characters would be half of it or more. */
  private static final int MIN_LENGTH_WITH_VISIBLE_CHARACTERS = 5;

  /** Checks that the key is not empty; the error does not contain it. */
  public ApiKey {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("API key must not be empty");
    }
  }

  /** Returns the key with all but the last two characters masked, whatever its length. */
  @Override
  public String toString() {
    return value.length() < MIN_LENGTH_WITH_VISIBLE_CHARACTERS
        ? MASK
        : MASK + value.substring(value.length() - VISIBLE_CHARACTERS);
  }

  /** Written out, because the generated method is linked at run time, which delays the start. */
  @Override
  public boolean equals(Object other) {
    return other instanceof ApiKey that && value.equals(that.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}

package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies one object, for example {@code lists/plans/00000012}.
 *
 * @param value the key; to the store, {@code /} is an ordinary character, but keys can be listed by
 *     prefix
 */
public record ObjectKey(String value) implements Comparable<ObjectKey> {
  /** Validates the key. */
  public ObjectKey {
    Checks.name("object key", value);
  }

  @Override
  public int compareTo(ObjectKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}

package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;

/**
 * Names one object, as in {@code lists/plans/00000012}.
 *
 * @param value the key; {@code /} has no meaning to the store but that prefixes can be listed
 */
public record ObjectKey(String value) implements Comparable<ObjectKey> {
  /** Checks the key. */
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

package org.mimosacleat.core.promotion;

import java.util.HashSet;
import java.util.Set;

/** Operations on immutable sets. */
final class ImmutableSets {
  private ImmutableSets() {}

  /** Returns an immutable copy of {@code elements} that also contains {@code added}. */
  static <T> Set<T> with(Set<T> elements, T added) {
    Set<T> extended = new HashSet<>(elements);
    extended.add(added);
    return Set.copyOf(extended);
  }
}

package org.mimosacleat.core.promotion;

import java.util.HashSet;
import java.util.Set;

/** Copies of immutable sets with one element more. */
final class Additions {
  private Additions() {}

  static <T> Set<T> with(Set<T> elements, T added) {
    Set<T> more = new HashSet<>(elements);
    more.add(added);
    return Set.copyOf(more);
  }
}

package org.mimosacleat.core.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Suggests the known name with the smallest edit distance to an unknown name. */
public final class NearestName {
  private NearestName() {}

  /**
   * Returns the known name with the smallest edit distance to {@code unknown}, if any name is
   * known.
   */
  public static Optional<String> of(String unknown, Collection<String> known) {
    return known.stream()
        .min(
            Comparator.<String>comparingInt(name -> editDistance(unknown, name))
                .thenComparing(Comparator.naturalOrder()));
  }

  /** Returns "one of X, Y (did you mean 'X'?)" as a clause for a message. */
  public static String hint(String unknown, Collection<String> known) {
    String all = String.join(", ", known);
    return of(unknown, known)
        .map(nearest -> "one of " + all + " (did you mean '" + nearest + "'?)")
        .orElse("(none defined)");
  }

  private static int editDistance(String first, String second) {
    int[] previous = new int[second.length() + 1];
    for (int column = 0; column <= second.length(); column++) {
      previous[column] = column;
    }
    for (int row = 1; row <= first.length(); row++) {
      previous = nextRow(previous, first.charAt(row - 1), second, row);
    }
    return previous[second.length()];
  }

  private static int[] nextRow(int[] previous, char letter, String second, int row) {
    int[] current = new int[previous.length];
    current[0] = row;
    for (int column = 1; column < current.length; column++) {
      int substitutionCost = previous[column - 1] + (letter == second.charAt(column - 1) ? 0 : 1);
      int insertOrDeleteCost = 1 + Math.min(previous[column], current[column - 1]);
      current[column] = Math.min(substitutionCost, insertOrDeleteCost);
    }
    return current;
  }
}

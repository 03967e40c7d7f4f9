package org.mimosacleat.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides whole units by demand, max-min fair: no one gets more than it asks for while another gets
 * less than an equal part; what is left after all demands is divided equally.
 */
public final class FairDivision {
  private FairDivision() {}

  /** Returns the units of each; they add up to {@code total} unless {@code demands} is empty. */
  public static <K extends Comparable<K>> Map<K, Long> divide(long total, Map<K, Long> demands) {
    List<K> byDemand = new ArrayList<>(demands.keySet());
    byDemand.sort(Comparator.<K, Long>comparing(demands::get).thenComparing(key -> key));
    Map<K, Long> units = new HashMap<>();
    long left = total;
    int others = byDemand.size();
    for (K key : byDemand) {
      long given = Math.min(demands.get(key), left / others);
      units.put(key, given);
      left -= given;
      others--;
    }
    divideEqually(left, byDemand.reversed(), units);
    return units;
  }

  private static <K> void divideEqually(long left, List<K> keys, Map<K, Long> units) {
    int count = keys.size();
    for (int index = 0; index < count; index++) {
      long extra = left / count + (index < left % count ? 1 : 0);
      units.merge(keys.get(index), extra, Long::sum);
    }
  }
}

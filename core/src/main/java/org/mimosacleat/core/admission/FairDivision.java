package org.mimosacleat.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Max-min fair division of whole units by demand: no key gets more than it demands while another
 * key's demand is unmet. Units left after all demands are met are divided equally.
 */
public final class FairDivision {
  private FairDivision() {}

  /** Returns the units per key; their sum is {@code total} unless {@code demands} is empty. */
  public static <K extends Comparable<K>> Map<K, Long> divide(long total, Map<K, Long> demands) {
    List<K> byDemand = new ArrayList<>(demands.keySet());
    byDemand.sort(Comparator.<K, Long>comparing(demands::get).thenComparing(key -> key));
    Map<K, Long> units = new HashMap<>();
    long remaining = total;
    int keysLeft = byDemand.size();
    for (K key : byDemand) {
      long granted = Math.min(demands.get(key), remaining / keysLeft);
      units.put(key, granted);
      remaining -= granted;
      keysLeft--;
    }
    divideEqually(remaining, byDemand.reversed(), units);
    return units;
  }

  private static <K> void divideEqually(long remaining, List<K> keys, Map<K, Long> units) {
    int count = keys.size();
    for (int index = 0; index < count; index++) {
      long extra = remaining / count + (index < remaining % count ? 1 : 0);
      units.merge(keys.get(index), extra, Long::sum);
    }
  }
}

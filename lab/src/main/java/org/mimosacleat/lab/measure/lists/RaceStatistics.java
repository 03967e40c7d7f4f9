package org.mimosacleat.lab.measure.lists;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts accepted, refused and lost edits, and reversions of keys at the proxies. */
final class RaceStatistics {
  private final Map<Long, Integer> acceptanceOrder = new HashMap<>();
  private final Map<Long, Long> replacedSerials = new HashMap<>();
  private final List<List<Long>> lastObserved = new ArrayList<>();
  private long reversions;
  private long refusals;

  RaceStatistics(int proxies, int keys) {
    for (int proxy = 0; proxy < proxies; proxy++) {
      lastObserved.add(Collections.nCopies(keys, 0L));
    }
  }

  void recordAccepted(Edit edit, Snapshot base) {
    acceptanceOrder.put(edit.serial(), acceptanceOrder.size());
    replacedSerials.put(edit.serial(), base.values().get(edit.key()));
  }

  void recordRefused() {
    refusals++;
  }

  /** Counts the keys of a proxy that reverted to an older edit since the last observation. */
  void observe(int proxy, List<Long> currentValues) {
    List<Long> previousValues = lastObserved.get(proxy);
    for (int key = 0; key < currentValues.size(); key++) {
      if (order(currentValues.get(key)) < order(previousValues.get(key))) {
        reversions++;
      }
    }
    lastObserved.set(proxy, List.copyOf(currentValues));
  }

  int acceptedEdits() {
    return acceptanceOrder.size();
  }

  long reversions() {
    return reversions;
  }

  long refusals() {
    return refusals;
  }

  /**
   * Returns the number of accepted edits that are neither in effect at the end nor were replaced by
   * an operator who had read them. An edit is retained if it is on the chain that leads from a
   * final value back through the value that each editor read before the edit.
   */
  long lostEdits(List<Long> finalValues) {
    long retained = 0;
    for (long serial : finalValues) {
      for (Long current = serial;
          replacedSerials.containsKey(current);
          current = replacedSerials.get(current)) {
        retained++;
      }
    }
    return replacedSerials.size() - retained;
  }

  private int order(long serial) {
    return acceptanceOrder.getOrDefault(serial, -1);
  }
}

package org.mimosacleat.lab.measure.lists;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts what became of accepted edits: lost ones, and reversions at proxies. */
final class RaceCount {
  private final Map<Long, Integer> orderOfEdit = new HashMap<>();
  private final Map<Long, Long> replacedByEdit = new HashMap<>();
  private final List<List<Long>> seen = new ArrayList<>();
  private long reversions;
  private long refusals;

  RaceCount(int proxies, int keys) {
    for (int proxy = 0; proxy < proxies; proxy++) {
      seen.add(Collections.nCopies(keys, 0L));
    }
  }

  void accepted(Edit edit, Snapshot base) {
    orderOfEdit.put(edit.serial(), orderOfEdit.size());
    replacedByEdit.put(edit.serial(), base.values().get(edit.key()));
  }

  void refused() {
    refusals++;
  }

  /** Compares what a proxy has in force with what it had: a key must not go back. */
  void observe(int proxy, List<Long> inForce) {
    List<Long> before = seen.get(proxy);
    for (int key = 0; key < inForce.size(); key++) {
      if (order(inForce.get(key)) < order(before.get(key))) {
        reversions++;
      }
    }
    seen.set(proxy, List.copyOf(inForce));
  }

  int acceptedEdits() {
    return orderOfEdit.size();
  }

  long reversions() {
    return reversions;
  }

  long refusals() {
    return refusals;
  }

  /**
   * Returns the accepted edits that are neither in force in the end nor replaced by an operator who
   * had seen them: those not on the chain from each final value back through what its editor saw.
   */
  long lostEdits(List<Long> finalValues) {
    long kept = 0;
    for (long serial : finalValues) {
      for (Long edit = serial; replacedByEdit.containsKey(edit); edit = replacedByEdit.get(edit)) {
        kept++;
      }
    }
    return replacedByEdit.size() - kept;
  }

  private int order(long serial) {
    return orderOfEdit.getOrDefault(serial, -1);
  }
}

package org.mimosacleat.lab.workload;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Remembers in memory how each write ended for its caller. */
final class WriteOracle {
  private final Map<EntryKey, RequestOutcome> outcomes = new ConcurrentHashMap<>();

  void record(EntryKey key, RequestOutcome outcome) {
    outcomes.put(key, outcome);
  }

  Map<EntryKey, RequestOutcome> outcomes() {
    return Map.copyOf(outcomes);
  }
}

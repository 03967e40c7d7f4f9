package org.mimosacleat.lab.workload;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Records in memory the outcome of each write as its client received it. */
final class WriteOracle {
  private final Map<WriteKey, RequestOutcome> outcomes = new ConcurrentHashMap<>();

  void record(WriteKey key, RequestOutcome outcome) {
    outcomes.put(key, outcome);
  }

  Map<WriteKey, RequestOutcome> outcomes() {
    return Map.copyOf(outcomes);
  }
}

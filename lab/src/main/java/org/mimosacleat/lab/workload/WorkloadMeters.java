package org.mimosacleat.lab.workload;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** The meters of one workload run. */
final class WorkloadMeters {
  /** The report name for reads of a session's own writes through another proxy. */
  static final String READ_BACK = "read back";

  private final Map<String, ActionMeter> actionMeters = new LinkedHashMap<>();
  private final Map<String, GapMeter> gapMeters = new LinkedHashMap<>();
  private final LongAdder staleReads = new LongAdder();

  WorkloadMeters(WorkloadSettings settings, Instant start) {
    for (Action action : settings.scenario().actions()) {
      actionMeters.putIfAbsent(action.name(), new ActionMeter());
    }
    actionMeters.put(READ_BACK, new ActionMeter());
    for (String database : settings.databases()) {
      gapMeters.put(database, new GapMeter(start));
    }
  }

  ActionMeter actionMeter(String name) {
    return actionMeters.get(name);
  }

  GapMeter gapMeter(String database) {
    return gapMeters.get(database);
  }

  void countStaleRead() {
    staleReads.increment();
  }

  long staleReads() {
    return staleReads.sum();
  }

  Duration longestGap(Instant now) {
    return gapMeters.values().stream()
        .map(gap -> gap.longestGap(now))
        .max(Duration::compareTo)
        .orElse(Duration.ZERO);
  }

  List<ActionReport> reports() {
    List<ActionReport> reports = new ArrayList<>();
    actionMeters.forEach((name, meter) -> reports.add(meter.report(name)));
    return reports;
  }
}

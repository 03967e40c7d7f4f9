package org.mimosacleat.lab.workload;

import java.time.Duration;
import java.util.List;

/**
 * The results of a workload.
 *
 * @param scenario the name of the scenario
 * @param actions one report per action
 * @param longestWriteGap the longest time without an acknowledged write on one database
 * @param violations the counts of violated guarantees
 */
public record WorkloadReport(
    String scenario, List<ActionReport> actions, Duration longestWriteGap, Violations violations) {
  /** Creates a report with a copy of the list. */
  public WorkloadReport {
    actions = List.copyOf(actions);
  }

  /** Returns the number of served requests. */
  public long served() {
    return actions.stream().mapToLong(ActionReport::served).sum();
  }

  /** Returns the number of refused requests. */
  public long refused() {
    return actions.stream().mapToLong(ActionReport::refused).sum();
  }

  /** Returns the number of requests with an unknown outcome. */
  public long unknown() {
    return actions.stream().mapToLong(ActionReport::unknown).sum();
  }
}

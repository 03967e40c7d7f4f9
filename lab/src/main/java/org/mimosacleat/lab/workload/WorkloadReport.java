package org.mimosacleat.lab.workload;

import java.time.Duration;
import java.util.List;

/**
 * What a workload found.
 *
 * @param scenario the scenario's name
 * @param actions one line for each action
 * @param longestWriteGap the longest time without an acknowledged write on one database
 * @param violations the promises that were broken
 */
public record WorkloadReport(
    String scenario, List<ActionReport> actions, Duration longestWriteGap, Violations violations) {
  /** Copies the lines. */
  public WorkloadReport {
    actions = List.copyOf(actions);
  }

  /** Returns how many requests were served. */
  public long served() {
    return actions.stream().mapToLong(ActionReport::served).sum();
  }

  /** Returns how many requests were refused. */
  public long refused() {
    return actions.stream().mapToLong(ActionReport::refused).sum();
  }

  /** Returns how many requests have an unknown outcome. */
  public long unknown() {
    return actions.stream().mapToLong(ActionReport::unknown).sum();
  }
}

package org.mimosacleat.lab.measure.failover;

/** The components that fail in a run. */
enum Scenario {
  /** The primary's availability zone is cut off. */
  CUT_OFF("primary's zone cut off"),
  /** The primary's process ends, and its VM refuses connections immediately. */
  STOPPED("primary stopped"),
  /** The candidate fails too, when its promotion is requested, and recovers 0.5 s later. */
  CANDIDATE_LOST("candidate lost too, back after 0.5 s"),
  /** The table service stops answering when the primary is lost. */
  TABLE_DOWN("table service down too"),
  /** The home is lost too; another home takes over once its lease has expired. */
  HOME_LOST("home lost too, lease of 1 s"),
  /** Only the home cannot reach the primary. */
  ONE_SIDED("only the home lost sight");

  private final String label;

  Scenario(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}

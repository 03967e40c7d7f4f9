package org.mimosacleat.lab.measure.failover;

/** What is lost, and when. */
enum Scenario {
  /** The primary's availability zone is cut off. */
  CUT_OFF("primary's zone cut off"),
  /** The primary's process ends, and its VM refuses connections at once. */
  STOPPED("primary stopped"),
  /** The candidate is lost as well, right after it was told to take over, and comes back later. */
  CANDIDATE_LOST("candidate lost too, back after 0.5 s"),
  /** The table service does not answer from the cut on. */
  TABLE_DOWN("table service down too"),
  /** The home is lost as well; another home takes over when its lease has run out. */
  HOME_LOST("home lost too, lease of 1 s"),
  /** Only the home loses sight of the primary. */
  ONE_SIDED("only the home lost sight");

  private final String label;

  Scenario(String label) {
    this.label = label;
  }

  String label() {
    return label;
  }
}

package org.mimosacleat.lab.workload;

/** What the caller knows of a request after its answer. */
public enum RequestOutcome {
  /** It ran. */
  SERVED,
  /** It certainly did not run. */
  REFUSED,
  /** It may have run. */
  UNKNOWN
}

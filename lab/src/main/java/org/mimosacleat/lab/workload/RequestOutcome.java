package org.mimosacleat.lab.workload;

/** What the client knows about the execution of a request after its response. */
public enum RequestOutcome {
  /** The request ran. */
  SERVED,
  /** The request definitely did not run. */
  REFUSED,
  /** The request may have run. */
  UNKNOWN
}

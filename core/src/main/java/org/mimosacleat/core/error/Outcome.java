package org.mimosacleat.core.error;

/** What is known of the work of a failed request. */
public enum Outcome {
  /** It certainly did not run, and never will. */
  NOT_RUN,
  /** It ran, although its answer is an error or was lost. */
  RAN,
  /** It may have run. */
  UNKNOWN
}

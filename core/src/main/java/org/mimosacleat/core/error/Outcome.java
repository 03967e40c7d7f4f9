package org.mimosacleat.core.error;

/** Whether the work of a failed request ran, as far as is known. */
public enum Outcome {
  /** The work did not run and never will. */
  NOT_RUN,
  /** The work ran, although its answer is an error or was lost. */
  RAN,
  /** The work may have run. */
  UNKNOWN
}

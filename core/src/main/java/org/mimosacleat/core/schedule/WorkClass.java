package org.mimosacleat.core.schedule;

/** The scheduling class of a statement. */
enum WorkClass {
  /** Expected to be short; may use any slot. */
  SHORT,
  /**
   * Never run before, while first runs are few or often long; one per group may use a reserved
   * slot.
   */
  PROBE,
  /** Expected to be long; may not use reserved slots. */
  LONG
}

package org.mimosacleat.core.schedule;

/** The scheduling class of a statement. */
enum WorkClass {
  /** Expected to be short; may use any slot. */
  SHORT,
  /** Unknown while first runs are often long; one per group may use a reserved slot. */
  PROBE,
  /** Expected to be long; may not use reserved slots. */
  LONG
}

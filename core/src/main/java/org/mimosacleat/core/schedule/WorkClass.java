package org.mimosacleat.core.schedule;

/** The class by which a statement is queued. */
enum WorkClass {
  /** Expected to run briefly; may use any slot. */
  SHORT,
  /** Never seen before, and first runs are often long; one in a group may use a reserved slot. */
  PROBE,
  /** Expected to run long; may not use reserved slots. */
  LONG
}

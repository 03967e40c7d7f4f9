package org.mimosacleat.serving.routing;

/** Whether the primary of a group is being replaced, and how. */
public enum ReplacementKind {
  /** The primary is not being replaced. */
  NONE,
  /** A primary that still answers is being replaced; it is fenced first. */
  PLANNED,
  /** Each proxy has to stop using the primary by itself, since it may not be fenced. */
  UNPLANNED
}

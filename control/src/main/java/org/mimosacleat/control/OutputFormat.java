package org.mimosacleat.control;

/** How a command that reads prints what it found. */
public enum OutputFormat {
  /** Lines for people. */
  TEXT,
  /** One JSON document. */
  JSON
}

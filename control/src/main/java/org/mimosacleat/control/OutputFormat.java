package org.mimosacleat.control;

/** The output format of a command that reads data. */
public enum OutputFormat {
  /** Human-readable lines. */
  TEXT,
  /** One JSON document. */
  JSON
}

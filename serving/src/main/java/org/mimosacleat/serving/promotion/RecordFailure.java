package org.mimosacleat.serving.promotion;

/** The reason why a shared record could not be read or written. */
public enum RecordFailure {
  /** The record has another version; nothing was written. */
  CONFLICT,
  /** The store could not be reached or refused the request; nothing was written. */
  NOT_DONE,
  /** The record may have been written, or may still be. */
  UNCERTAIN
}

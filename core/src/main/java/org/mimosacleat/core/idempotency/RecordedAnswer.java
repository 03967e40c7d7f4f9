package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.check.Checks;

/**
 * The answer of executed work, as stored in the request record.
 *
 * @param encoded the frames of the answer, encoded as text
 */
public record RecordedAnswer(String encoded) {
  /** Validates the answer. */
  public RecordedAnswer {
    Checks.notNull("encoded answer", encoded);
  }
}

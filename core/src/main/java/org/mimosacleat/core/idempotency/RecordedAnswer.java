package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.check.Checks;

/**
 * The answer of work that ran, as it is kept with the request id.
 *
 * @param encoded the frames of the answer, encoded as text
 */
public record RecordedAnswer(String encoded) {
  /** Checks the answer. */
  public RecordedAnswer {
    Checks.notNull("encoded answer", encoded);
  }
}

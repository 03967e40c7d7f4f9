package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.check.Checks;

/**
 * A digest of the statements and parameters of a request, to notice that a request id is used again
 * for other work.
 *
 * @param value the digest, in text
 */
public record WorkFingerprint(String value) {
  /** Checks the digest. */
  public WorkFingerprint {
    Checks.name("work fingerprint", value);
  }

  @Override
  public String toString() {
    return value;
  }
}

package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.check.Checks;

/**
 * A digest of the statements and parameters of a request, used to detect that a request id is
 * reused for different work.
 *
 * @param value the digest as text
 */
public record RequestFingerprint(String value) {
  /** Validates the digest. */
  public RequestFingerprint {
    Checks.name("work fingerprint", value);
  }

  @Override
  public String toString() {
    return value;
  }
}

package org.mimosacleat.core.idempotency;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.RequestId;

/**
 * The row of a request id in the database of its work.
 *
 * @param request the request id
 * @param customer whose request it is; ids of different customers do not meet
 * @param work what the request asked for
 * @param answer the answer; empty if its writer ended without one, which a correct proxy never does
 */
public record RequestRecord(
    RequestId request, CustomerId customer, WorkFingerprint work, Optional<RecordedAnswer> answer) {
  /** Checks the parts. */
  public RequestRecord {
    Checks.notNull("request id", request);
    Checks.notNull("customer id", customer);
    Checks.notNull("work fingerprint", work);
    Checks.notNull("answer", answer);
  }
}

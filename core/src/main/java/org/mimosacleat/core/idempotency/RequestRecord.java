package org.mimosacleat.core.idempotency;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.TeamId;

/**
 * The record of a request id, stored in the same database as the work.
 *
 * @param request the request id
 * @param customer the customer that sent the request; ids are scoped to the customer
 * @param work the fingerprint of the requested work
 * @param answer the answer; empty if the writer committed without one, which a correct proxy never
 *     does
 */
public record RequestRecord(
    RequestId request, TeamId customer, RequestFingerprint work, Optional<RecordedAnswer> answer) {
  /** Validates the components. */
  public RequestRecord {
    Checks.notNull("request id", request);
    Checks.notNull("customer id", customer);
    Checks.notNull("work fingerprint", work);
    Checks.notNull("answer", answer);
  }
}

package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.TeamId;

/** Decides whether a request with a request id is run, answered from its record, or refused. */
public interface IdempotencyPolicy {
  /**
   * Decides from the lookup on the primary of the current term.
   *
   * @param request the request id
   * @param customer the customer that sent the request
   * @param work the fingerprint of the requested work
   * @param lookup the result of the lookup
   */
  IdempotencyDecision decide(
      RequestId request, TeamId customer, RequestFingerprint work, RecordLookup lookup);
}

package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.RequestId;

/** Decides whether a request with a request id runs, is answered from its record, or is refused. */
public interface RepeatDecider {
  /**
   * Decides from what the primary of the current term said.
   *
   * @param request the request id
   * @param customer whose request it is
   * @param work what it asks for
   * @param lookup what the primary said
   */
  RepeatDecision decide(
      RequestId request, CustomerId customer, WorkFingerprint work, RecordLookup lookup);
}

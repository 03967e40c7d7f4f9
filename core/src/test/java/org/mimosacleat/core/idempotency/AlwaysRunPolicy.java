package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.RequestId;

/** A wrong decider: it runs the work whatever was recorded. */
final class AlwaysRunPolicy implements RepeatDecider {
  @Override
  public RepeatDecision decide(
      RequestId request, CustomerId customer, WorkFingerprint work, RecordLookup lookup) {
    return new RepeatDecision.Run();
  }
}

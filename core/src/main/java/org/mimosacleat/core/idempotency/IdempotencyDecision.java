package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.error.Failure;

/** The action for a request that has a request id. */
public sealed interface IdempotencyDecision {
  /**
   * Run the work in the open transaction, record its answer in the same transaction, and commit.
   */
  record Run() implements IdempotencyDecision {}

  /**
   * Roll back, and return the recorded answer once the current position of the primary is
   * acknowledged. Until then the record itself may still be lost with the primary.
   */
  record ReturnRecorded(RecordedAnswer answer) implements IdempotencyDecision {}

  /** Roll back and answer with the failure. */
  record Refuse(Failure failure) implements IdempotencyDecision {}
}

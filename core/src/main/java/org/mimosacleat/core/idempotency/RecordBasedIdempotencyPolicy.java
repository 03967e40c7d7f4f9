package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.TeamId;

/**
 * Decides from the request record in the database.
 *
 * <p>The id is the primary key of the record. If two transactions use the same id, the second waits
 * for the first: it finds the record if the first commits, and runs the work if the first is rolled
 * back. Stateless.
 */
public final class RecordBasedIdempotencyPolicy implements IdempotencyPolicy {
  @Override
  public IdempotencyDecision decide(
      RequestId request, TeamId customer, RequestFingerprint work, RecordLookup lookup) {
    return switch (lookup) {
      case RecordLookup.Inserted() -> new IdempotencyDecision.Run();
      case RecordLookup.Existing(RequestRecord found) -> fromRecord(request, work, found);
      case RecordLookup.Locked() ->
          refuse(
              ErrorKind.REQUEST_IN_DOUBT,
              "request " + request + " is still running in another transaction; outcome unknown");
      case RecordLookup.Failed(Failure failure) -> new IdempotencyDecision.Refuse(failure);
    };
  }

  private static IdempotencyDecision fromRecord(
      RequestId request, RequestFingerprint work, RequestRecord found) {
    if (!found.work().equals(work)) {
      return refuse(
          ErrorKind.INVALID_SETTING,
          "request id " + request + " was already used for other work; this work was not run");
    }
    return found
        .answer()
        .<IdempotencyDecision>map(IdempotencyDecision.ReturnRecorded::new)
        .orElseGet(
            () ->
                refuse(
                    ErrorKind.REQUEST_IN_DOUBT,
                    "request " + request + " is recorded without an answer; outcome unknown"));
  }

  private static IdempotencyDecision refuse(ErrorKind kind, String detail) {
    return new IdempotencyDecision.Refuse(new Failure(kind, detail));
  }
}

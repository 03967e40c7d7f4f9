package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.RequestId;

/**
 * Decides by the record in the database.
 *
 * <p>The id is the primary key of the record, so of two transactions with the same id the second
 * waits for the first and then finds its record, or runs because the first was rolled back. Holds
 * no state.
 */
public final class RecordRepeatDecider implements RepeatDecider {
  @Override
  public RepeatDecision decide(
      RequestId request, CustomerId customer, WorkFingerprint work, RecordLookup lookup) {
    return switch (lookup) {
      case RecordLookup.Inserted() -> new RepeatDecision.Run();
      case RecordLookup.Existing(RequestRecord found) -> fromRecord(request, work, found);
      case RecordLookup.Held() ->
          refuse(ErrorKind.REQUEST_IN_DOUBT, "request " + request + " is still running");
      case RecordLookup.Failed(Failure failure) -> new RepeatDecision.Refuse(failure);
    };
  }

  private static RepeatDecision fromRecord(
      RequestId request, WorkFingerprint work, RequestRecord found) {
    if (!found.work().equals(work)) {
      return refuse(
          ErrorKind.INVALID_SETTING, "request id " + request + " was used for other work");
    }
    return found
        .answer()
        .<RepeatDecision>map(RepeatDecision.ReturnRecorded::new)
        .orElseGet(
            () -> refuse(ErrorKind.REQUEST_IN_DOUBT, "request " + request + " has no answer"));
  }

  private static RepeatDecision refuse(ErrorKind kind, String detail) {
    return new RepeatDecision.Refuse(new Failure(kind, detail));
  }
}

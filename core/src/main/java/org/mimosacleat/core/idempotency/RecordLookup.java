package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.error.Failure;

/** What the primary said when the request id was to be recorded at the start of a transaction. */
public sealed interface RecordLookup {
  /** The id is new and is recorded in the open transaction. */
  record Inserted() implements RecordLookup {}

  /** The id was recorded by an earlier transaction, which has committed. */
  record Existing(RequestRecord found) implements RecordLookup {}

  /** Another transaction holds the id and did not end in time. */
  record Held() implements RecordLookup {}

  /** The question failed. */
  record Failed(Failure failure) implements RecordLookup {}
}

package org.mimosacleat.core.idempotency;

import org.mimosacleat.core.error.Failure;

/** The result of recording a request id on the primary at the start of a transaction. */
public sealed interface RecordLookup {
  /** The id is new and is recorded in the open transaction. */
  record Inserted() implements RecordLookup {}

  /** The id was recorded by an earlier transaction that has committed. */
  record Existing(RequestRecord found) implements RecordLookup {}

  /** Another transaction holds the row of the id and did not end within the lock timeout. */
  record Locked() implements RecordLookup {}

  /** The lookup failed. */
  record Failed(Failure failure) implements RecordLookup {}
}

package org.mimosacleat.core.lease;

import java.util.Optional;

/**
 * A conditional write of which the outcome is not known yet.
 *
 * @param row the row to be written
 * @param replaced the row that it replaces, if there is one
 */
record PendingWrite(LeaseRow row, Optional<LeaseRow> replaced) {
  LeaseAction.WriteRow action() {
    return new LeaseAction.WriteRow(row, replaced.map(LeaseRow::writeId));
  }

  boolean isWrittenBy(Optional<LeaseRow> read) {
    return read.map(LeaseRow::writeId).filter(row.writeId()::equals).isPresent();
  }

  boolean mayStillApply(Optional<LeaseRow> read) {
    return read.map(LeaseRow::writeId).equals(replaced.map(LeaseRow::writeId));
  }
}

package org.mimosacleat.core.lease;

import java.util.Optional;

/**
 * A conditional write whose outcome is not known yet.
 *
 * @param row the row to be written
 * @param replaced the row that it replaces, if there is one
 */
record PendingWrite(LeaseRow row, Optional<LeaseRow> replaced) {
  LeaseAction.WriteRow toAction() {
    return new LeaseAction.WriteRow(row, replaced.map(LeaseRow::writeId));
  }

  /** Returns whether the row that was read was produced by this write. */
  boolean hasProduced(Optional<LeaseRow> read) {
    return read.map(LeaseRow::writeId).filter(row.writeId()::equals).isPresent();
  }

  /** Returns whether the row that was read still fulfils the condition of this write. */
  boolean canStillApply(Optional<LeaseRow> read) {
    return read.map(LeaseRow::writeId).equals(replaced.map(LeaseRow::writeId));
  }
}

package org.mimosacleat.lab.fuzz;

import java.util.Optional;
import org.mimosacleat.core.lease.LeaseAction;
import org.mimosacleat.core.lease.LeaseRow;
import org.mimosacleat.core.promotion.GroupRow;
import org.mimosacleat.core.promotion.PromotionAction;

/** In-memory table service with the lease row and the group row, written conditionally. */
final class FakeTable {
  /** How the table service behaves. */
  enum Mode {
    UP,
    DOWN,
    SLOW,
    LOSES_ANSWERS
  }

  Mode mode = Mode.UP;
  private Optional<LeaseRow> leaseRow = Optional.empty();
  private GroupRow groupRow;

  FakeTable(GroupRow groupRow) {
    this.groupRow = groupRow;
  }

  Optional<LeaseRow> leaseRow() {
    return leaseRow;
  }

  GroupRow groupRow() {
    return groupRow;
  }

  boolean write(LeaseAction.WriteRow write) {
    if (!leaseRow.map(LeaseRow::writeId).equals(write.expected())) {
      return false;
    }
    leaseRow = Optional.of(write.row());
    return true;
  }

  boolean write(PromotionAction.WriteRow write) {
    if (!groupRow.version().equals(write.expected())) {
      return false;
    }
    groupRow = write.row();
    return true;
  }
}

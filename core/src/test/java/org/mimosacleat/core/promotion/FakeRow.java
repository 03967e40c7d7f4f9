package org.mimosacleat.core.promotion;

import java.util.Optional;
import org.mimosacleat.core.id.EndpointId;

/** Simulated row of the table service with conditional writes. */
final class FakeRow {
  private GroupRow row;

  FakeRow(GroupRow row) {
    this.row = row;
  }

  GroupRow read() {
    return row;
  }

  PromotionInput write(GroupRow next, RowVersion expected) {
    if (!row.version().equals(expected)) {
      return new PromotionInput.RowRefused(next.version());
    }
    row = next;
    return new PromotionInput.RowWritten(next.version());
  }

  Optional<EndpointId> primary() {
    return row.primary();
  }
}

package org.mimosacleat.store.table;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/**
 * One row, as read from the table.
 *
 * @param key the key of the row
 * @param version the number of writes to the row, including its creation; at least 1
 * @param writer the id of the write that stored this version
 * @param attributes the attributes of the row
 */
public record Row(RowKey key, long version, WriteId writer, Attributes attributes) {
  /** Validates the components. */
  public Row {
    Checks.notNull("row key", key);
    Checks.positive("row version", version);
    Checks.notNull("writer", writer);
    Checks.notNull("attributes", attributes);
  }

  /** Returns the condition that the row has not been written since it was read. */
  public RowCondition unchanged() {
    return new RowCondition.Unchanged(version, writer);
  }
}

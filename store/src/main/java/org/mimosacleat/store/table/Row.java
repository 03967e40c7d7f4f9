package org.mimosacleat.store.table;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/**
 * One row as it was read.
 *
 * @param key the row's name
 * @param version the number of writes since the row was created, from 1
 * @param writer the write that left the row as it is
 * @param attributes what the row says
 */
public record Row(RowKey key, long version, WriteId writer, Attributes attributes) {
  /** Checks the parts. */
  public Row {
    Checks.notNull("row key", key);
    Checks.positive("row version", version);
    Checks.notNull("writer", writer);
    Checks.notNull("attributes", attributes);
  }

  /** Returns the condition that nobody has written the row since it was read. */
  public RowCondition unchanged() {
    return new RowCondition.Unchanged(version, writer);
  }
}

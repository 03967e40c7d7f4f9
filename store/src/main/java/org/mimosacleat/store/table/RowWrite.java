package org.mimosacleat.store.table;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/** One conditional write, alone or as part of a transaction. */
public sealed interface RowWrite {
  /** Returns the row that is written or checked. */
  RowKey key();

  /** Returns what must be true of the row. */
  RowCondition condition();

  /**
   * Creates the row, or replaces all its attributes.
   *
   * @param key the row
   * @param condition what must be true of the row
   * @param id the unique name of this write; a retry keeps it
   * @param attributes what the row will say
   */
  record Put(RowKey key, RowCondition condition, WriteId id, Attributes attributes)
      implements RowWrite {
    /** Checks the parts. */
    public Put {
      Checks.notNull("row key", key);
      Checks.notNull("condition", condition);
      Checks.notNull("write id", id);
      Checks.notNull("attributes", attributes);
    }

    /** Returns the row that this write leaves. */
    public Row row() {
      return new Row(key, condition.nextVersion(), id, attributes);
    }
  }

  /**
   * Deletes the row.
   *
   * @param key the row
   * @param condition what must be true of the row
   */
  record Delete(RowKey key, RowCondition condition) implements RowWrite {
    /** Checks the parts. */
    public Delete {
      Checks.notNull("row key", key);
      Checks.notNull("condition", condition);
    }
  }

  /**
   * Leaves the row as it is and makes the transaction depend on it.
   *
   * @param key the row
   * @param condition what must be true of the row
   */
  record Check(RowKey key, RowCondition condition) implements RowWrite {
    /** Checks the parts. */
    public Check {
      Checks.notNull("row key", key);
      Checks.notNull("condition", condition);
    }
  }
}

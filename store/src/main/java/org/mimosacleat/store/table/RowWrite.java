package org.mimosacleat.store.table;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/** One conditional write, alone or as part of a transaction. */
public sealed interface RowWrite {
  /** Returns the key of the row that is written or checked. */
  RowKey key();

  /** Returns the condition on the stored row. */
  RowCondition condition();

  /**
   * Creates the row, or replaces all its attributes.
   *
   * @param key the key of the row
   * @param condition the condition on the stored row
   * @param id the unique id of this write; a retry uses the same id
   * @param attributes the new attributes of the row
   */
  record Put(RowKey key, RowCondition condition, WriteId id, Attributes attributes)
      implements RowWrite {
    /** Validates the components. */
    public Put {
      Checks.notNull("row key", key);
      Checks.notNull("condition", condition);
      Checks.notNull("write id", id);
      Checks.notNull("attributes", attributes);
    }

    /** Returns the row as stored by this write. */
    public Row row() {
      return new Row(key, condition.nextVersion(), id, attributes);
    }
  }

  /**
   * Deletes the row.
   *
   * @param key the key of the row
   * @param condition the condition on the stored row
   */
  record Delete(RowKey key, RowCondition condition) implements RowWrite {
    /** Validates the components. */
    public Delete {
      Checks.notNull("row key", key);
      Checks.notNull("condition", condition);
    }
  }

  /**
   * Does not change the row; the transaction fails if the condition is not met.
   *
   * @param key the key of the row
   * @param condition the condition on the stored row
   */
  record Check(RowKey key, RowCondition condition) implements RowWrite {
    /** Validates the components. */
    public Check {
      Checks.notNull("row key", key);
      Checks.notNull("condition", condition);
    }
  }
}

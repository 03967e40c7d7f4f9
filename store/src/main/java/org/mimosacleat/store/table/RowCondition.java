package org.mimosacleat.store.table;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/** The condition on a stored row under which a write takes effect. */
public sealed interface RowCondition {
  /** The row does not exist. */
  record Absent() implements RowCondition {}

  /**
   * The row is unchanged since the given write. The version alone would also match a row that was
   * deleted and created again; the unique id of the write does not.
   *
   * @param version the version of the row
   * @param writer the id of the write that stored that version
   */
  record Unchanged(long version, WriteId writer) implements RowCondition {
    /** Validates the components. */
    public Unchanged {
      Checks.positive("row version", version);
      Checks.notNull("writer", writer);
    }
  }

  /** Returns whether the stored row, empty if there is none, meets the condition. */
  default boolean holdsFor(Optional<Row> row) {
    return switch (this) {
      case Absent _ -> row.isEmpty();
      case Unchanged(long version, WriteId writer) ->
          row.isPresent() && row.get().version() == version && row.get().writer().equals(writer);
    };
  }

  /** Returns the version that a row has after a write with this condition. */
  default long nextVersion() {
    return switch (this) {
      case Absent _ -> 1;
      case Unchanged unchanged -> unchanged.version() + 1;
    };
  }
}

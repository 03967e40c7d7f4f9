package org.mimosacleat.store.table;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/** What must be true of a row at the moment of a write. */
public sealed interface RowCondition {
  /** The row does not exist. */
  record Absent() implements RowCondition {}

  /**
   * The row is as this write left it. The unique writer keeps a row that was deleted and created
   * again from passing for the old one.
   *
   * @param version the row's version
   * @param writer the row's writer
   */
  record Unchanged(long version, WriteId writer) implements RowCondition {
    /** Checks the parts. */
    public Unchanged {
      Checks.positive("row version", version);
      Checks.notNull("writer", writer);
    }
  }

  /** Tells whether {@code row} fulfils the condition. */
  default boolean holdsFor(Optional<Row> row) {
    return switch (this) {
      case Absent _ -> row.isEmpty();
      case Unchanged(long version, WriteId writer) ->
          row.isPresent() && row.get().version() == version && row.get().writer().equals(writer);
    };
  }

  /** Returns the version of a row that is written under this condition. */
  default long nextVersion() {
    return switch (this) {
      case Absent _ -> 1;
      case Unchanged unchanged -> unchanged.version() + 1;
    };
  }
}

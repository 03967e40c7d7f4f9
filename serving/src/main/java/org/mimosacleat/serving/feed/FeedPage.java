package org.mimosacleat.serving.feed;

import java.util.List;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.serving.version.StoreEra;

/**
 * The changes of one table between two versions of the store, both of one era.
 *
 * @param table the table
 * @param era the era of all versions
 * @param after the version after which the changes were made
 * @param version the version up to which the page has all changes of the table
 * @param rows the changed rows, in the order of their changes
 */
public record FeedPage(String table, StoreEra era, long after, long version, List<FeedRow> rows) {
  /** Copies the rows. */
  public FeedPage {
    Checks.notNull("table", table);
    Checks.notNull("era", era);
    rows = List.copyOf(rows);
  }

  /** Returns whether this page has all rows of the table. */
  public boolean isWhole() {
    return after == 0;
  }

  /** Returns whether this page continues what is known up to a version, without a gap. */
  public boolean continues(long known) {
    return after <= known;
  }

  /** Returns the rows that changed after a version. */
  public List<FeedRow> rowsAfter(long known) {
    return rows.stream().filter(row -> row.version() > known).toList();
  }
}

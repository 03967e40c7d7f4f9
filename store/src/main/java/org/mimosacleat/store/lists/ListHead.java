package org.mimosacleat.store.lists;

import java.util.Optional;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowCondition;

/**
 * The row that names the newest version of a list.
 *
 * @param kind which list
 * @param row the row; empty before the first version
 */
record ListHead(ListKind kind, Optional<Row> row) {
  ListVersion version() {
    return row.map(ListRows::version).orElse(ListVersion.NONE);
  }

  RowCondition unchanged() {
    return row.map(Row::unchanged).orElseGet(RowCondition.Absent::new);
  }
}

package org.mimosacleat.store.lists;

import java.util.Optional;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowCondition;

/**
 * The head row of a list, which refers to its newest version.
 *
 * @param kind the kind of the list
 * @param row the head row; empty before the first version
 */
record ListHead(ListKind kind, Optional<Row> row) {
  ListVersion version() {
    return row.map(ListRows::version).orElse(ListVersion.NONE);
  }

  RowCondition unchanged() {
    return row.map(Row::unchanged).orElseGet(RowCondition.Absent::new);
  }
}

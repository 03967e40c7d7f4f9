package org.mimosacleat.standin.endpoint;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.List;

/**
 * One table; a change gives a new table that shares its unchanged rows with the old one. The values
 * of a row stand in the order of the columns.
 *
 * @param columns the columns
 * @param keyColumn the index of the primary key's column, or {@link #NO_KEY}
 * @param rows the rows by their number, in the order of insertion
 * @param rowsByKey the numbers of rows by primary key
 * @param nextRow the number of the next row
 */
record Table(
    List<Column> columns,
    int keyColumn,
    SortedMap<Long, List<String>> rows,
    Map<String, Long> rowsByKey,
    long nextRow) {
  static final int NO_KEY = -1;

  static Table create(List<Column> columns, int keyColumn) {
    return new Table(List.copyOf(columns), keyColumn, TreeMap.empty(), HashMap.empty(), 0);
  }

  int columnIndex(String name) throws SqlError {
    for (int index = 0; index < columns.size(); index++) {
      if (columns.get(index).name().equals(name)) {
        return index;
      }
    }
    throw new SqlError(SqlError.UNDEFINED_COLUMN, "column \"" + name + "\" does not exist");
  }

  boolean hasKey() {
    return keyColumn != NO_KEY;
  }

  boolean containsKey(String key) {
    return rowsByKey.containsKey(key);
  }

  Table insert(List<String> row) throws SqlError {
    Map<String, Long> keys = hasKey() ? withKey(rowsByKey, row, nextRow) : rowsByKey;
    return new Table(columns, keyColumn, rows.put(nextRow, row), keys, nextRow + 1);
  }

  Table replace(long number, List<String> row) throws SqlError {
    Map<String, Long> keys = rowsByKey;
    if (hasKey()) {
      keys = withKey(keys.remove(rows.get(number).get().get(keyColumn)), row, number);
    }
    return new Table(columns, keyColumn, rows.put(number, row), keys, nextRow);
  }

  Table delete(long number) {
    Map<String, Long> keys =
        hasKey() ? rowsByKey.remove(rows.get(number).get().get(keyColumn)) : rowsByKey;
    return new Table(columns, keyColumn, rows.remove(number), keys, nextRow);
  }

  private Map<String, Long> withKey(Map<String, Long> keys, List<String> row, long number)
      throws SqlError {
    String key = row.get(keyColumn);
    if (key == null) {
      throw new SqlError(
          SqlError.NOT_NULL_VIOLATION,
          "null value in column \"" + columns.get(keyColumn).name() + "\"");
    }
    if (keys.containsKey(key)) {
      throw new SqlError(
          SqlError.DUPLICATE_KEY,
          "duplicate key value violates unique constraint: ("
              + columns.get(keyColumn).name()
              + ")=("
              + key
              + ")");
    }
    return keys.put(key, number);
  }
}

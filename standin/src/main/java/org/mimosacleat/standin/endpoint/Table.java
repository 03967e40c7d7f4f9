package org.mimosacleat.standin.endpoint;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.SortedMap;
import io.vavr.collection.TreeMap;
import java.util.List;

/**
 * An immutable table; a change returns a new table that shares its unchanged rows with the old one.
 * The values of a row are in the order of the columns.
 *
 * @param columns the columns
 * @param keyColumn the index of the primary key column, or {@link #NO_KEY}
 * @param rows the rows by row number, in the order of insertion
 * @param rowNumbersByKey the row numbers by primary key
 * @param nextRowNumber the number of the next inserted row
 */
record Table(
    List<Column> columns,
    int keyColumn,
    SortedMap<Long, List<String>> rows,
    Map<String, Long> rowNumbersByKey,
    long nextRowNumber) {
  static final int NO_KEY = -1;

  static Table create(List<Column> columns, int keyColumn) {
    return new Table(List.copyOf(columns), keyColumn, TreeMap.empty(), HashMap.empty(), 0);
  }

  int columnIndex(String name) throws SqlStateException {
    for (int index = 0; index < columns.size(); index++) {
      if (columns.get(index).name().equals(name)) {
        return index;
      }
    }
    throw new SqlStateException(
        SqlStateException.UNDEFINED_COLUMN, "column \"" + name + "\" does not exist");
  }

  boolean hasKey() {
    return keyColumn != NO_KEY;
  }

  boolean containsKey(String key) {
    return rowNumbersByKey.containsKey(key);
  }

  Table insert(List<String> row) throws SqlStateException {
    Map<String, Long> keys =
        hasKey() ? withKey(rowNumbersByKey, row, nextRowNumber) : rowNumbersByKey;
    return new Table(columns, keyColumn, rows.put(nextRowNumber, row), keys, nextRowNumber + 1);
  }

  Table replace(long rowNumber, List<String> row) throws SqlStateException {
    Map<String, Long> keys = rowNumbersByKey;
    if (hasKey()) {
      keys = withKey(keys.remove(rows.get(rowNumber).get().get(keyColumn)), row, rowNumber);
    }
    return new Table(columns, keyColumn, rows.put(rowNumber, row), keys, nextRowNumber);
  }

  Table delete(long rowNumber) {
    Map<String, Long> keys =
        hasKey()
            ? rowNumbersByKey.remove(rows.get(rowNumber).get().get(keyColumn))
            : rowNumbersByKey;
    return new Table(columns, keyColumn, rows.remove(rowNumber), keys, nextRowNumber);
  }

  private Map<String, Long> withKey(Map<String, Long> keys, List<String> row, long rowNumber)
      throws SqlStateException {
    String key = row.get(keyColumn);
    if (key == null) {
      throw new SqlStateException(
          SqlStateException.NOT_NULL_VIOLATION,
          "null value in column \"" + columns.get(keyColumn).name() + "\"");
    }
    if (keys.containsKey(key)) {
      throw new SqlStateException(
          SqlStateException.UNIQUE_VIOLATION,
          "duplicate key value violates unique constraint: ("
              + columns.get(keyColumn).name()
              + ")=("
              + key
              + ")");
    }
    return keys.put(key, rowNumber);
  }
}

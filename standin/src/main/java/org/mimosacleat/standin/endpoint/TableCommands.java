package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Runs the statements that read and write tables, within one transaction. */
final class TableCommands {
  private static final List<Column> COUNT_COLUMN = List.of(new Column("count", ColumnType.INTEGER));

  private final Transaction transaction;
  private final OperandEvaluator evaluator;

  TableCommands(Transaction transaction, OperandEvaluator evaluator) {
    this.transaction = transaction;
    this.evaluator = evaluator;
  }

  QueryResult create(Command.CreateTable command) throws SqlStateException {
    if (transaction.find(command.table()).isPresent()) {
      if (command.ifNotExists()) {
        return QueryResult.done("CREATE TABLE");
      }
      throw new SqlStateException(
          SqlStateException.DUPLICATE_TABLE, "relation \"" + command.table() + "\" already exists");
    }
    int key = Table.NO_KEY;
    for (int index = 0; index < command.columns().size(); index++) {
      if (command.columns().get(index).name().equals(command.primaryKey())) {
        key = index;
      }
    }
    transaction.put(command.table(), Table.create(command.columns(), key));
    return QueryResult.done("CREATE TABLE");
  }

  QueryResult drop(Command.DropTable command) throws SqlStateException {
    if (!command.ifExists()) {
      transaction.get(command.table());
    }
    transaction.drop(command.table());
    return QueryResult.done("DROP TABLE");
  }

  QueryResult insert(Command.Insert command) throws SqlStateException, InterruptedException {
    Table table = transaction.get(command.table());
    List<Integer> targetIndexes = columnIndexes(table, command.columns());
    int inserted = 0;
    for (List<Operand> values : command.rows()) {
      List<String> row = newRow(table, targetIndexes, values);
      boolean conflict = table.hasKey() && table.containsKey(row.get(table.keyColumn()));
      if (conflict && command.skipConflicts()) {
        continue;
      }
      table = table.insert(row);
      inserted++;
    }
    if (inserted > 0) {
      transaction.put(command.table(), table);
    }
    return QueryResult.done("INSERT 0 " + inserted);
  }

  QueryResult update(Command.Update command) throws SqlStateException, InterruptedException {
    Table table = transaction.get(command.table());
    List<Long> matching = matchingRows(table, command.conditions());
    for (long rowNumber : matching) {
      List<String> currentRow = table.rows().get(rowNumber).get();
      List<String> newRow = new ArrayList<>(currentRow);
      for (Assignment assignment : command.assignments()) {
        String value = evaluator.evaluate(assignment.value(), table, currentRow);
        newRow.set(table.columnIndex(assignment.column()), value);
      }
      table = table.replace(rowNumber, Collections.unmodifiableList(newRow));
    }
    if (!matching.isEmpty()) {
      transaction.put(command.table(), table);
    }
    return QueryResult.done("UPDATE " + matching.size());
  }

  QueryResult delete(Command.Delete command) throws SqlStateException, InterruptedException {
    Table table = transaction.get(command.table());
    List<Long> matching = matchingRows(table, command.conditions());
    for (long rowNumber : matching) {
      table = table.delete(rowNumber);
    }
    if (!matching.isEmpty()) {
      transaction.put(command.table(), table);
    }
    return QueryResult.done("DELETE " + matching.size());
  }

  QueryResult select(Command.Select command) throws SqlStateException, InterruptedException {
    Table table = transaction.get(command.table());
    List<Long> matching = matchingRows(table, command.conditions());
    if (command.count()) {
      return QueryResult.of(COUNT_COLUMN, List.of(List.of(Integer.toString(matching.size()))));
    }
    List<Integer> indexes = columnIndexes(table, command.columns());
    List<List<String>> rows = new ArrayList<>(matching.size());
    for (long rowNumber : matching) {
      List<String> row = table.rows().get(rowNumber).get();
      List<String> selected = new ArrayList<>(indexes.size());
      indexes.forEach(index -> selected.add(row.get(index)));
      rows.add(selected);
    }
    return QueryResult.of(columnsOf(command, table), rows);
  }

  /** Returns the columns of the result of a SELECT. */
  static List<Column> columnsOf(Command.Select command, Table table) throws SqlStateException {
    if (command.count()) {
      return COUNT_COLUMN;
    }
    return columnIndexes(table, command.columns()).stream().map(table.columns()::get).toList();
  }

  private static List<Integer> columnIndexes(Table table, List<String> names)
      throws SqlStateException {
    List<Integer> indexes = new ArrayList<>();
    for (String name : names) {
      indexes.add(table.columnIndex(name));
    }
    for (int index = 0; names.isEmpty() && index < table.columns().size(); index++) {
      indexes.add(index);
    }
    return indexes;
  }

  private List<String> newRow(Table table, List<Integer> targetIndexes, List<Operand> values)
      throws SqlStateException, InterruptedException {
    if (targetIndexes.size() != values.size()) {
      throw new SqlStateException(
          SqlStateException.SYNTAX_ERROR,
          "INSERT has " + values.size() + " values for " + targetIndexes.size() + " columns");
    }
    List<String> row = new ArrayList<>(Collections.nCopies(table.columns().size(), (String) null));
    for (int index = 0; index < values.size(); index++) {
      row.set(targetIndexes.get(index), evaluator.evaluate(values.get(index)));
    }
    return Collections.unmodifiableList(row);
  }

  private List<Long> matchingRows(Table table, List<Condition> conditions)
      throws SqlStateException, InterruptedException {
    List<Integer> indexes = new ArrayList<>();
    List<String> expected = new ArrayList<>();
    for (Condition condition : conditions) {
      indexes.add(table.columnIndex(condition.column()));
      expected.add(evaluator.evaluate(condition.value()));
    }
    int keyPosition = table.hasKey() ? indexes.indexOf(table.keyColumn()) : -1;
    List<Long> matching = new ArrayList<>();
    if (keyPosition >= 0) {
      table
          .rowNumbersByKey()
          .get(expected.get(keyPosition))
          .filter(rowNumber -> matches(table.rows().get(rowNumber).get(), indexes, expected))
          .forEach(matching::add);
      return matching;
    }
    table
        .rows()
        .forEach(
            (rowNumber, row) -> {
              if (matches(row, indexes, expected)) {
                matching.add(rowNumber);
              }
            });
    return matching;
  }

  private static boolean matches(List<String> row, List<Integer> indexes, List<String> expected) {
    for (int position = 0; position < indexes.size(); position++) {
      String value = row.get(indexes.get(position));
      if (value == null || !value.equals(expected.get(position))) {
        return false;
      }
    }
    return true;
  }
}

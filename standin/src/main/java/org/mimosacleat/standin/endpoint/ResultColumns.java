package org.mimosacleat.standin.endpoint;

import java.util.ArrayList;
import java.util.List;

/** Determines the columns of a statement's result without running the statement. */
final class ResultColumns {
  static final List<Column> STATUS =
      List.of(
          new Column("in_recovery", ColumnType.TEXT),
          new Column("received", ColumnType.TEXT),
          new Column("replayed", ColumnType.TEXT),
          new Column("timeline", ColumnType.INTEGER),
          new Column("fence_term", ColumnType.TEXT));

  static final List<Column> TIMELINE = List.of(new Column("timeline_id", ColumnType.INTEGER));

  private ResultColumns() {}

  /** Returns the columns, or an empty list for a statement that returns no rows. */
  static List<Column> of(Command command, Transaction transaction) throws SqlStateException {
    return switch (command) {
      case Command.Select select ->
          TableCommands.columnsOf(select, transaction.get(select.table()));
      case Command.SelectValues select -> ofValues(select);
      case Command.ShowSetting show -> List.of(new Column(show.name(), ColumnType.TEXT));
      case Command.Status status -> STATUS;
      case Command.Timeline timeline -> TIMELINE;
      default -> List.of();
    };
  }

  static List<Column> ofValues(Command.SelectValues select) {
    List<Column> columns = new ArrayList<>();
    for (SelectedValue value : select.values()) {
      boolean number =
          value.value() instanceof Operand.Literal literal && literal.type() == ColumnType.INTEGER;
      columns.add(new Column(value.label(), number ? ColumnType.INTEGER : ColumnType.TEXT));
    }
    return columns;
  }
}

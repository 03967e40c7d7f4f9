package org.mimosacleat.standin.endpoint;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.wire.postgres.TransactionStatus;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/** Runs the statements of one session and keeps its transaction. */
final class SessionEngine {
  private final InstanceParts parts;
  private final InstanceState state;
  private final SessionSettings settings;
  private final AdminFunctions functions;
  private final RandomGenerator random;
  private final Transaction transaction;
  private boolean explicit;
  private boolean failed;
  private boolean readOnly;

  SessionEngine(InstanceParts parts, SessionRights rights, RandomGenerator random) {
    this.parts = parts;
    this.state = parts.state();
    this.settings = new SessionSettings(state);
    this.functions = new AdminFunctions(state, settings, parts.wakeFollowers());
    this.random = random;
    this.transaction = new Transaction(state, parts.locks(), rights);
  }

  TransactionStatus status() {
    if (failed) {
      return TransactionStatus.FAILED;
    }
    return explicit ? TransactionStatus.OPEN : TransactionStatus.IDLE;
  }

  List<Column> describe(Command command) throws SqlError {
    return ResultShape.of(command, transaction);
  }

  /** Runs one statement; a transaction that is not explicit stays open until it is finished. */
  QueryResult run(Command command, List<String> parameters)
      throws SqlError, IOException, InterruptedException {
    boolean ends = command instanceof Command.Rollback || command instanceof Command.Commit;
    if (failed && !ends) {
      throw new SqlError(
          SqlError.TRANSACTION_FAILED,
          "current transaction is aborted, commands ignored until end of transaction block");
    }
    return dispatch(command, new OperandEvaluator(parameters, functions));
  }

  /** Commits what ran outside of an explicit transaction. */
  void finishImplicit() throws SqlError, IOException {
    if (!explicit) {
      commitWritten();
    }
  }

  /** Takes note of an error. */
  void fail() {
    transaction.rollback();
    failed = explicit;
  }

  void close() {
    transaction.rollback();
  }

  private QueryResult dispatch(Command command, OperandEvaluator evaluator)
      throws SqlError, IOException, InterruptedException {
    TableCommands tables = new TableCommands(transaction, evaluator);
    return switch (command) {
      case Command.Empty empty -> QueryResult.done("");
      case Command.Begin begin -> begin(begin);
      case Command.Commit commit -> commit();
      case Command.Rollback rollback -> rollback();
      case Command.Select select -> select(select, tables);
      case Command.SelectValues select -> selectValues(select, evaluator);
      case Command.Insert insert -> write("INSERT", insert.table(), () -> tables.insert(insert));
      case Command.Update update -> write("UPDATE", update.table(), () -> tables.update(update));
      case Command.Delete delete -> write("DELETE", delete.table(), () -> tables.delete(delete));
      case Command.CreateTable create ->
          write("CREATE TABLE", create.table(), () -> tables.create(create));
      case Command.DropTable drop -> write("DROP TABLE", drop.table(), () -> tables.drop(drop));
      case Command.Status status -> statusRow();
      case Command.Timeline timeline ->
          QueryResult.of(ResultShape.TIMELINE, List.of(List.of(timeline())));
      case Command.AlterSystem alter -> alterSystem(alter);
      case Command.SetSetting set -> set(set);
      case Command.ShowSetting show -> show(show);
      case Command.ResetSetting reset -> reset(reset);
      case Command.DiscardAll discard -> discardAll();
    };
  }

  private QueryResult begin(Command.Begin begin) {
    explicit = true;
    readOnly = begin.readOnly();
    return QueryResult.done("BEGIN");
  }

  private QueryResult commit() throws SqlError, IOException {
    if (failed) {
      return rollback();
    }
    explicit = false;
    readOnly = false;
    commitWritten();
    return QueryResult.done("COMMIT");
  }

  private QueryResult rollback() {
    transaction.rollback();
    explicit = false;
    failed = false;
    readOnly = false;
    return QueryResult.done("ROLLBACK");
  }

  private void commitWritten() throws SqlError, IOException {
    if (!transaction.commit()) {
      return;
    }
    parts.wakeFollowers().run();
    if (parts.faults().takeDroppedAnswer()) {
      throw new AnswerDroppedException();
    }
  }

  private QueryResult select(Command.Select select, TableCommands tables)
      throws SqlError, InterruptedException {
    if (select.forUpdate()) {
      return write("SELECT FOR UPDATE", select.table(), () -> tables.select(select));
    }
    return inSlot(() -> tables.select(select));
  }

  /** Takes the table's lock before the slot, so that a waiting writer occupies no slot. */
  private QueryResult write(String verb, String table, StatementBody body)
      throws SqlError, InterruptedException {
    requireWritable(verb);
    transaction.lock(table);
    return inSlot(body);
  }

  private void requireWritable(String verb) throws SqlError {
    if (readOnly || settings.isReadOnly()) {
      throw new SqlError(
          SqlError.READ_ONLY, "cannot execute " + verb + " in a read-only transaction");
    }
    state.requireWritable(verb);
  }

  private QueryResult inSlot(StatementBody body) throws SqlError, InterruptedException {
    parts.slots().acquire(random);
    try {
      return body.run();
    } finally {
      parts.slots().release();
    }
  }

  private QueryResult selectValues(Command.SelectValues select, OperandEvaluator evaluator)
      throws SqlError, InterruptedException {
    boolean administrative =
        select.values().stream()
            .anyMatch(
                value ->
                    value.value() instanceof Operand.FunctionCall call
                        && AdminFunctions.isAdministrative(call.function()));
    if (administrative) {
      return evaluateValues(select, evaluator);
    }
    return inSlot(() -> evaluateValues(select, evaluator));
  }

  private static QueryResult evaluateValues(Command.SelectValues select, OperandEvaluator evaluator)
      throws SqlError, InterruptedException {
    List<String> row = new ArrayList<>();
    for (SelectedValue value : select.values()) {
      row.add(evaluator.evaluate(value.value()));
    }
    return QueryResult.of(ResultShape.ofValues(select), List.of(row));
  }

  private QueryResult statusRow() {
    InstanceStatus status = state.status();
    List<String> row =
        Arrays.asList(
            status.replica() ? "t" : "f",
            status.received().log().toString(),
            status.replayed().log().toString(),
            status.replayed().term().toString(),
            status.fence().map(Term::toString).orElse(null));
    return QueryResult.of(ResultShape.STATUS, List.of(row));
  }

  private String timeline() {
    return state.status().replayed().term().toString();
  }

  private QueryResult alterSystem(Command.AlterSystem alter) throws SqlError {
    switch (alter.name()) {
      case EndpointStatements.FENCE_TERM_SETTING -> state.setFence(parseTerm(alter.value()));
      case EndpointStatements.HOME_TOKEN_SETTING -> raiseHomeToken(alter.value());
      case EndpointStatements.PRIMARY_SETTING -> state.setUpstream(alter.value());
      case EndpointStatements.READ_ONLY_SETTING -> state.setReadOnly("on".equals(alter.value()));
      default -> throw AdminFunctions.unknownSetting(alter.name());
    }
    return QueryResult.done("ALTER SYSTEM");
  }

  private void raiseHomeToken(String text) throws SqlError {
    try {
      state.setHomeToken(Long.parseLong(text));
    } catch (NumberFormatException malformed) {
      throw new SqlError(
          SqlError.INVALID_VALUE, "mimosacleat.home_token must be a number, not '" + text + "'");
    }
    parts.breakOffFenced().run();
  }

  private static Term parseTerm(String text) throws SqlError {
    try {
      return new Term(Long.parseLong(text));
    } catch (IllegalArgumentException malformed) {
      throw new SqlError(
          SqlError.INVALID_VALUE, "mimosacleat.fence_term must be a number, not '" + text + "'");
    }
  }

  private QueryResult set(Command.SetSetting set) {
    settings.set(set.name(), set.value());
    return QueryResult.done("SET");
  }

  private QueryResult show(Command.ShowSetting show) throws SqlError {
    String value = settings.get(show.name());
    if (value == null) {
      if (!show.name().equals(EndpointStatements.FENCE_TERM_SETTING)) {
        throw AdminFunctions.unknownSetting(show.name());
      }
      value = "";
    }
    List<Column> columns = List.of(new Column(show.name(), ColumnType.TEXT));
    return new QueryResult(columns, List.of(List.of(value)), "SHOW");
  }

  private QueryResult reset(Command.ResetSetting reset) {
    if (reset.name() == null) {
      settings.resetAll();
    } else {
      settings.reset(reset.name());
    }
    return QueryResult.done("RESET");
  }

  private QueryResult discardAll() {
    settings.resetAll();
    return QueryResult.done("DISCARD ALL");
  }

  private interface StatementBody {
    QueryResult run() throws SqlError, InterruptedException;
  }
}

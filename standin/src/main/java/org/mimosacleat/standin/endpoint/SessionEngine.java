package org.mimosacleat.standin.endpoint;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.wire.postgres.TransactionStatus;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/** Runs the statements of one session and tracks its transaction. */
final class SessionEngine {
  private final SessionDependencies dependencies;
  private final InstanceState state;
  private final SessionSettings settings;
  private final SqlFunctions functions;
  private final RandomGenerator random;
  private final Transaction transaction;
  private boolean explicitTransaction;
  private boolean failed;
  private boolean readOnly;

  SessionEngine(
      SessionDependencies dependencies, FencingTokens fencingTokens, RandomGenerator random) {
    this.dependencies = dependencies;
    this.state = dependencies.state();
    this.settings = new SessionSettings(state);
    this.functions = new SqlFunctions(state, settings, dependencies.wakeReplicators());
    this.random = random;
    this.transaction = new Transaction(state, dependencies.locks(), fencingTokens);
  }

  TransactionStatus status() {
    if (failed) {
      return TransactionStatus.FAILED;
    }
    return explicitTransaction ? TransactionStatus.OPEN : TransactionStatus.IDLE;
  }

  List<Column> describe(Command command) throws SqlStateException {
    return ResultColumns.of(command, transaction);
  }

  /** Runs one statement; an implicit transaction stays open until {@link #commitImplicit}. */
  QueryResult execute(Command command, List<String> parameters)
      throws SqlStateException, IOException, InterruptedException {
    boolean endsTransaction =
        command instanceof Command.Rollback || command instanceof Command.Commit;
    if (failed && !endsTransaction) {
      throw new SqlStateException(
          SqlStateException.IN_FAILED_TRANSACTION,
          "current transaction is aborted, commands ignored until end of transaction block");
    }
    return dispatch(command, new OperandEvaluator(parameters, functions));
  }

  /** Commits the statements that ran outside an explicit transaction. */
  void commitImplicit() throws SqlStateException, IOException {
    if (!explicitTransaction) {
      commitWritten();
    }
  }

  /** Rolls back after an error; an explicit transaction then fails until its end. */
  void abortTransaction() {
    transaction.rollback();
    failed = explicitTransaction;
  }

  void close() {
    transaction.rollback();
  }

  private QueryResult dispatch(Command command, OperandEvaluator evaluator)
      throws SqlStateException, IOException, InterruptedException {
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
          QueryResult.of(ResultColumns.TIMELINE, List.of(List.of(timeline())));
      case Command.AlterSystem alter -> alterSystem(alter);
      case Command.SetSetting set -> set(set);
      case Command.ShowSetting show -> show(show);
      case Command.ResetSetting reset -> reset(reset);
      case Command.DiscardAll discard -> discardAll();
    };
  }

  private QueryResult begin(Command.Begin begin) {
    explicitTransaction = true;
    readOnly = begin.readOnly();
    return QueryResult.done("BEGIN");
  }

  private QueryResult commit() throws SqlStateException, IOException {
    if (failed) {
      return rollback();
    }
    explicitTransaction = false;
    readOnly = false;
    commitWritten();
    return QueryResult.done("COMMIT");
  }

  private QueryResult rollback() {
    transaction.rollback();
    explicitTransaction = false;
    failed = false;
    readOnly = false;
    return QueryResult.done("ROLLBACK");
  }

  private void commitWritten() throws SqlStateException, IOException {
    if (!transaction.commit()) {
      return;
    }
    dependencies.wakeReplicators().run();
    if (dependencies.faults().consumeDropNextResponse()) {
      throw new ResponseDroppedException();
    }
  }

  private QueryResult select(Command.Select select, TableCommands tables)
      throws SqlStateException, InterruptedException {
    if (select.forUpdate()) {
      return write("SELECT FOR UPDATE", select.table(), () -> tables.select(select));
    }
    return inSlot(() -> tables.select(select));
  }

  /** Acquires the table lock before the slot, so that a waiting writer occupies no slot. */
  private QueryResult write(String verb, String table, StatementBody body)
      throws SqlStateException, InterruptedException {
    requireWritable(verb);
    transaction.lock(table);
    return inSlot(body);
  }

  private void requireWritable(String verb) throws SqlStateException {
    if (readOnly || settings.isReadOnly()) {
      throw new SqlStateException(
          SqlStateException.READ_ONLY_TRANSACTION,
          "cannot execute " + verb + " in a read-only transaction");
    }
    state.requireWritable(verb);
  }

  private QueryResult inSlot(StatementBody body) throws SqlStateException, InterruptedException {
    dependencies.slots().acquire(random);
    try {
      return body.run();
    } finally {
      dependencies.slots().release();
    }
  }

  private QueryResult selectValues(Command.SelectValues select, OperandEvaluator evaluator)
      throws SqlStateException, InterruptedException {
    boolean administrative =
        select.values().stream()
            .anyMatch(
                value ->
                    value.value() instanceof Operand.FunctionCall call
                        && SqlFunctions.isAdministrative(call.function()));
    if (administrative) {
      return evaluateValues(select, evaluator);
    }
    return inSlot(() -> evaluateValues(select, evaluator));
  }

  private static QueryResult evaluateValues(Command.SelectValues select, OperandEvaluator evaluator)
      throws SqlStateException, InterruptedException {
    List<String> row = new ArrayList<>();
    for (SelectedValue value : select.values()) {
      row.add(evaluator.evaluate(value.value()));
    }
    return QueryResult.of(ResultColumns.ofValues(select), List.of(row));
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
    return QueryResult.of(ResultColumns.STATUS, List.of(row));
  }

  private String timeline() {
    return state.status().replayed().term().toString();
  }

  private QueryResult alterSystem(Command.AlterSystem alter) throws SqlStateException {
    switch (alter.name()) {
      case EndpointStatements.FENCE_TERM_SETTING -> state.setFence(parseTerm(alter.value()));
      case EndpointStatements.HOME_TOKEN_SETTING -> raiseHomeToken(alter.value());
      case EndpointStatements.PRIMARY_SETTING -> state.setUpstream(alter.value());
      case EndpointStatements.READ_ONLY_SETTING -> state.setReadOnly("on".equals(alter.value()));
      default -> throw SqlFunctions.unknownSetting(alter.name());
    }
    return QueryResult.done("ALTER SYSTEM");
  }

  private void raiseHomeToken(String text) throws SqlStateException {
    try {
      state.setHomeToken(Long.parseLong(text));
    } catch (NumberFormatException malformed) {
      throw new SqlStateException(
          SqlStateException.INVALID_PARAMETER_VALUE,
          "mimosacleat.home_token must be a number, but was '" + text + "'");
    }
    dependencies.closeFencedSessions().run();
  }

  private static Term parseTerm(String text) throws SqlStateException {
    try {
      return new Term(Long.parseLong(text));
    } catch (IllegalArgumentException malformed) {
      throw new SqlStateException(
          SqlStateException.INVALID_PARAMETER_VALUE,
          "mimosacleat.fence_term must be a number, but was '" + text + "'");
    }
  }

  private QueryResult set(Command.SetSetting set) {
    settings.set(set.name(), set.value());
    return QueryResult.done("SET");
  }

  private QueryResult show(Command.ShowSetting show) throws SqlStateException {
    String value = settings.get(show.name());
    if (value == null) {
      if (!show.name().equals(EndpointStatements.FENCE_TERM_SETTING)) {
        throw SqlFunctions.unknownSetting(show.name());
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
    QueryResult run() throws SqlStateException, InterruptedException;
  }
}

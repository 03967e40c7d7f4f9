package org.mimosacleat.serving.session;

import io.vavr.control.Either;
import java.time.Instant;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.fleet.DatabaseName;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.ClientStatement;
import org.mimosacleat.serving.statement.ForwardedStatement;
import org.mimosacleat.serving.statement.PreparedShape;
import org.mimosacleat.serving.statement.StatementBody;
import org.tinylog.Logger;

/**
 * The session of one client. Statements are executed one after the other, by one thread at a time;
 * statements that need no endpoint are answered here.
 */
public final class Session implements AutoCloseable {
  private final SessionDependencies dependencies;
  private final DatabaseName database;
  private final SessionState state;
  private final Admission admission;
  private final RoutedStatements statements;
  private ClientTransaction transaction;

  Session(
      SessionDependencies dependencies,
      DatabaseName database,
      SessionState state,
      Admission admission) {
    this.dependencies = dependencies;
    this.database = database;
    this.state = state;
    this.admission = admission;
    this.statements = new RoutedStatements(dependencies, state);
  }

  /** Returns the transaction status that the client last received. */
  public TransactionStatus status() {
    return transaction == null ? TransactionStatus.IDLE : transaction.status();
  }

  /** Executes one statement and waits for its answer. */
  public Answer execute(ClientStatement statement) {
    Instant arrivedAt = dependencies.clock().instant();
    Answer answer = answerSafely(statement);
    dependencies
        .failureLog()
        .logIfFailed(statement, database, dependencies.fleet().snapshot(), answer, arrivedAt);
    return answer;
  }

  /** An unexpected exception ends the statement with an error, never the session without one. */
  private Answer answerSafely(ClientStatement statement) {
    try {
      return answer(statement);
    } catch (RuntimeException | StackOverflowError | OutOfMemoryError unexpected) {
      Logger.error(unexpected, "statement {} ended by an unexpected exception", statement.id());
      abortAfterFault();
      return fail(ErrorKind.INTERNAL, "an internal error; whether the statement ran is not known");
    }
  }

  private void abortAfterFault() {
    try {
      abortTransaction();
    } catch (RuntimeException unexpected) {
      Logger.error(unexpected, "transaction not rolled back after an unexpected exception");
    }
  }

  private Answer answer(ClientStatement statement) {
    return switch (statement.body()) {
      case StatementBody.Begin(boolean readOnly) -> begin(readOnly);
      case StatementBody.Commit commit -> commit(statement);
      case StatementBody.Rollback rollback -> rollback();
      case StatementBody.Read read -> forward(ForwardedStatement.plain(statement, false));
      case StatementBody.Write write -> forward(ForwardedStatement.plain(statement, true));
      case StatementBody.SetValue(String name, String value) ->
          answerLocally(
              state.setValue(name, value),
              "a session can set at most " + SessionState.MAX_NAMES + " values");
      case StatementBody.Prepare(String name, PreparedShape shape) ->
          answerLocally(
              state.prepare(name, shape),
              "a session can prepare at most " + SessionState.MAX_NAMES + " statements");
      case StatementBody.Execute(String name, String arguments) ->
          executePrepared(statement, name, arguments);
      case StatementBody.Deallocate(String name) -> deallocate(name);
      case StatementBody.Malformed(String reason) -> fail(ErrorKind.PROTOCOL_VIOLATION, reason);
    };
  }

  /** Rolls back an open transaction; the client's next statement reports it as failed. */
  public void abortTransaction() {
    if (transaction != null) {
      transaction.abort();
    }
  }

  /** Ends the session and rolls back an open transaction. */
  @Override
  public void close() {
    if (transaction != null) {
      transaction.rollback();
      transaction = null;
    }
  }

  private Answer begin(boolean readOnly) {
    if (transaction != null) {
      return fail(ErrorKind.PROTOCOL_VIOLATION, "a transaction is already open");
    }
    Either<Failure, Route> route = admitNewWork();
    if (route.isLeft()) {
      return Answer.failed(route.getLeft(), TransactionStatus.IDLE);
    }
    transaction = new RoutedTransaction(dependencies, state, admission, route.get(), readOnly);
    return Answer.done(TransactionStatus.IN_TRANSACTION);
  }

  private Answer commit(ClientStatement statement) {
    if (transaction == null) {
      return fail(ErrorKind.PROTOCOL_VIOLATION, "no transaction is open");
    }
    Answer answer = transaction.commit(ForwardedStatement.plain(statement, false));
    transaction = null;
    return answer;
  }

  private Answer rollback() {
    if (transaction == null) {
      return fail(ErrorKind.PROTOCOL_VIOLATION, "no transaction is open");
    }
    transaction.rollback();
    transaction = null;
    return Answer.done(TransactionStatus.IDLE);
  }

  private Answer executePrepared(ClientStatement statement, String name, String arguments) {
    return state
        .shape(name)
        .map(shape -> forward(ForwardedStatement.prepared(statement, shape, arguments)))
        .orElseGet(() -> unknownStatement(name));
  }

  private Answer deallocate(String name) {
    return state.deallocate(name) ? Answer.done(status()) : unknownStatement(name);
  }

  private Answer forward(ForwardedStatement statement) {
    if (transaction != null) {
      return transaction.run(statement);
    }
    return admitNewWork()
        .fold(
            refusal -> Answer.failed(refusal, TransactionStatus.IDLE),
            route -> statements.run(statement, route));
  }

  private Either<Failure, Route> admitNewWork() {
    return dependencies.drain().takesNewWork()
        ? admission.admit()
        : Either.left(SessionDependencies.STOPPING);
  }

  private Answer answerLocally(boolean accepted, String refusal) {
    if (status() == TransactionStatus.FAILED) {
      return fail(ErrorKind.PROTOCOL_VIOLATION, "the transaction has failed; roll it back");
    }
    return accepted ? Answer.done(status()) : fail(ErrorKind.NOT_SUPPORTED, refusal);
  }

  private Answer unknownStatement(String name) {
    return fail(ErrorKind.UNKNOWN_STATEMENT, "no statement is prepared as " + name);
  }

  private Answer fail(ErrorKind kind, String detail) {
    return Answer.failed(new Failure(kind, detail), status());
  }
}

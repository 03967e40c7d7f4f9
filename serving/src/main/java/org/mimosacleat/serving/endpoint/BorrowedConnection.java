package org.mimosacleat.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.statement.PreparedShape;

/** A pooled connection that one session holds until it releases or discards it. */
public final class BorrowedConnection {
  private static final String SET_UP_FAILED =
      "could not set the session's values and prepared statement";

  private final EndpointPool pool;
  private final PooledConnection pooled;
  private final InstantSource clock;
  private boolean inTransaction;

  /** Whether the connection may lack values or a prepared statement that it is recorded to have. */
  private boolean setUpFailed;

  private boolean returned;

  BorrowedConnection(EndpointPool pool, PooledConnection pooled, InstantSource clock) {
    this.pool = pool;
    this.pooled = pooled;
    this.clock = clock;
  }

  /**
   * Sends a session's commands, preceded by those that set up the connection for the session, and
   * waits until the last one is answered.
   *
   * @param values the values that the session has set
   * @param shape the prepared statement that the commands use, if any
   */
  public CommandResult run(
      Map<String, String> values,
      Optional<PreparedShape> shape,
      List<EndpointCommand> commands,
      Instant deadline) {
    if (setUpFailed) {
      return new CommandResult.Lost(SET_UP_FAILED);
    }
    List<EndpointCommand> first = pooled.prepareFor(values, shape);
    List<EndpointCommand> all = new ArrayList<>(first);
    all.addAll(commands);
    final Instant sentAt = clock.instant();
    List<CompletableFuture<Answer>> pending = pooled.connection().send(all);
    List<Answer> answers = new ArrayList<>(all.size());
    for (CompletableFuture<Answer> future : pending) {
      Duration left = Duration.between(clock.instant(), deadline);
      try {
        answers.add(future.get(Math.max(0, left.toNanos()), TimeUnit.NANOSECONDS));
      } catch (TimeoutException late) {
        return new CommandResult.TimedOut();
      } catch (ExecutionException lost) {
        return new CommandResult.Lost(String.valueOf(lost.getCause().getMessage()));
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return new CommandResult.Lost("interrupted");
      }
    }
    boolean prepared = answers.subList(0, first.size()).stream().allMatch(Answer::isDone);
    List<Answer> own = answers.subList(first.size(), answers.size());
    setUpFailed = !prepared;
    if (setUpFailed && own.stream().anyMatch(Answer::isDone)) {
      return new CommandResult.Lost(SET_UP_FAILED);
    }
    inTransaction = answers.getLast().status() != TransactionStatus.IDLE;
    answers.getLast().position().ifPresent(pool.health()::recordPosition);
    pool.recordAnswer(Duration.between(sentAt, clock.instant()));
    return new CommandResult.Answered(own, sentAt);
  }

  /** Returns the endpoint's pool. */
  public EndpointPool pool() {
    return pool;
  }

  /**
   * Returns the connection to the pool, or closes it if a transaction is open on it or it was not
   * set up as recorded.
   */
  public void release() {
    if (inTransaction || setUpFailed) {
      discard();
    }
    if (!returned) {
      returned = true;
      pool.release(pooled);
    }
  }

  /** Closes the connection, which rolls back an open transaction. */
  public void discard() {
    if (!returned) {
      returned = true;
      pool.discard(pooled);
    }
  }
}

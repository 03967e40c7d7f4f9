package org.mimosacleat.serving;

import java.io.EOFException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointConnection;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.statement.Answer;

/** An endpoint in memory with a role, a log position and scripted refusals. */
public final class FakeEndpoint {
  /** The group of all fake endpoints. */
  public static final GroupId GROUP = new GroupId("lending");

  /** The clients' statements that ran here, marked if they ran in a transaction. */
  public final List<String> ran = new ArrayList<>();

  /** All commands in order of arrival. */
  public final List<EndpointCommand> commands = new ArrayList<>();

  public EndpointRole role;
  public Term term = new Term(1);
  public long number = 10;
  public boolean reachable = true;
  public boolean breaksAfterRun;

  /** Runs after each statement of a client, before its answer is received. */
  public Runnable beforeAnswer = () -> {};

  /** Runs before each scripted refusal. */
  public Runnable beforeRefusal = () -> {};

  /** The rows of each answer to a statement of a client. */
  public List<String> rows = List.of();

  /** How many of the next session values are refused. */
  public int refusedValues;

  private final EndpointId id;
  private final long startedAt;
  private final Deque<ErrorKind> refusals = new ArrayDeque<>();

  /** Creates an endpoint without scripted refusals. */
  public FakeEndpoint(String id, EndpointRole role, long startedAt) {
    this.id = new EndpointId(id);
    this.role = role;
    this.startedAt = startedAt;
  }

  /** Refuses the next client statements with these error kinds, one for each statement. */
  public void refuse(ErrorKind... kinds) {
    refusals.addAll(List.of(kinds));
  }

  /** Returns the id of this endpoint. */
  public EndpointId id() {
    return id;
  }

  /** Returns the end of this endpoint's log. */
  public Position position() {
    return new Position(term, new LogPosition(number));
  }

  /** Returns the entry that this endpoint reports while it is not draining. */
  public EndpointEntry entry() {
    return entry(false);
  }

  /** Returns the entry that this endpoint reports. */
  public EndpointEntry entry(boolean draining) {
    return entry(draining, 0);
  }

  /** Returns an entry that this endpoint reports, with its sequence number. */
  public EndpointEntry entry(boolean draining, long sequence) {
    return new EndpointEntry(
        id,
        GROUP,
        InetSocketAddress.createUnresolved(id.value(), 1),
        new AvailabilityZone("a"),
        3,
        draining,
        role,
        startedAt,
        sequence);
  }

  /** Opens a connection. */
  public EndpointConnection connect() {
    return new FakeConnection();
  }

  /** One connection and its transaction status. */
  private final class FakeConnection implements EndpointConnection {
    private TransactionStatus status = TransactionStatus.IDLE;
    private boolean readWrite;
    private boolean open = true;

    @Override
    public List<CompletableFuture<Answer>> send(List<EndpointCommand> sent) {
      List<CompletableFuture<Answer>> answers = new ArrayList<>();
      for (EndpointCommand command : sent) {
        commands.add(command);
        answers.add(open ? answer(command) : broken());
      }
      return answers;
    }

    @Override
    public boolean isOpen() {
      return open;
    }

    @Override
    public void close() {
      open = false;
    }

    private CompletableFuture<Answer> broken() {
      return CompletableFuture.failedFuture(new EOFException("closed"));
    }

    private CompletableFuture<Answer> answer(EndpointCommand command) {
      return switch (command) {
        case EndpointCommand.Begin begin -> begin(begin);
        case EndpointCommand.Run run -> run(run.text(), run.after());
        case EndpointCommand.RunPrepared run -> run("EXEC " + run.arguments(), run.after());
        case EndpointCommand.Rollback rollback -> end();
        case EndpointCommand.SetValue set -> setValue();
        default -> done();
      };
    }

    private CompletableFuture<Answer> setValue() {
      if (refusedValues == 0) {
        return done();
      }
      refusedValues--;
      return failed(ErrorKind.OVERLOADED);
    }

    private CompletableFuture<Answer> begin(EndpointCommand.Begin begin) {
      if (lacks(begin.after())) {
        return failed(ErrorKind.REPLICA_BEHIND);
      }
      if (!begin.readOnly() && role == EndpointRole.REPLICA) {
        return failed(ErrorKind.NOT_PRIMARY);
      }
      readWrite = !begin.readOnly();
      status = TransactionStatus.IN_TRANSACTION;
      return done();
    }

    private CompletableFuture<Answer> run(String text, Optional<Position> after) {
      ErrorKind refusal = refusals.poll();
      if (refusal != null) {
        beforeRefusal.run();
        return failed(refusal);
      }
      if (lacks(after)) {
        return failed(ErrorKind.REPLICA_BEHIND);
      }
      boolean writes = text.startsWith("WRITE");
      if (role == EndpointRole.REPLICA && (writes || readWrite)) {
        return failed(ErrorKind.NOT_PRIMARY);
      }
      ran.add(status == TransactionStatus.IDLE ? text : "in transaction: " + text);
      number += writes ? 1 : 0;
      beforeAnswer.run();
      if (breaksAfterRun) {
        open = false;
        return broken();
      }
      return text.startsWith("COMMIT") ? end() : signed(rows);
    }

    private boolean lacks(Optional<Position> after) {
      return after.filter(needed -> !position().includes(needed)).isPresent();
    }

    private CompletableFuture<Answer> end() {
      status = TransactionStatus.IDLE;
      readWrite = false;
      return signed();
    }

    private CompletableFuture<Answer> signed() {
      return signed(List.of());
    }

    private CompletableFuture<Answer> signed(List<String> returned) {
      return answered(returned, Optional.of("signed by " + id), Optional.empty());
    }

    private CompletableFuture<Answer> done() {
      return answered(List.of(), Optional.of("-"), Optional.empty());
    }

    private CompletableFuture<Answer> failed(ErrorKind kind) {
      return answered(List.of(), Optional.empty(), Optional.of(new Failure(kind, "scripted")));
    }

    private CompletableFuture<Answer> answered(
        List<String> returned, Optional<String> signature, Optional<Failure> failure) {
      return CompletableFuture.completedFuture(
          new Answer(returned, signature, failure, status, Optional.of(position())));
    }
  }
}

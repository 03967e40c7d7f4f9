package org.mimosacleat.serving.drain;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.serving.statement.StatementId;

/**
 * What happens on a client connection, as agreed on between its own thread and a drain: each
 * request is answered by exactly one of them. States are compared by identity, so a drain that has
 * looked at an idle connection can't close it after another request.
 */
public final class ChannelState {
  /** How a connection was ended. */
  public sealed interface Ending {
    /** No request was open. */
    record Idle() implements Ending {}

    /** A request was open; the caller must answer it. A session's start has no statement. */
    record RequestOpen(Optional<StatementId> statement) implements Ending {}

    /** The connection's thread is sending an answer, and closes the connection after it. */
    record Answering() implements Ending {}

    /** The connection had ended before. */
    record Earlier() implements Ending {}
  }

  private sealed interface State {
    /** Waits for a request of the client; a leaving one is the last, if one has arrived. */
    record Waiting(Instant since, boolean inTransaction, boolean leaving) implements State {}

    /** A request was read and is being executed; the start of a session has no statement id. */
    record Running(Optional<StatementId> statement) implements State {}

    /** The answer is being sent. */
    record Answering(boolean last) implements State {}

    /** The connection is closed or will be. */
    record Ended() implements State {}
  }

  private final InstantSource clock;
  private final AtomicReference<State> state;

  /** Creates the state of a connection whose client has not sent anything yet. */
  public ChannelState(InstantSource clock) {
    this.clock = clock;
    this.state = new AtomicReference<>(new State.Waiting(clock.instant(), false, false));
  }

  /**
   * Records that a request was read.
   *
   * @param statement the statement, if the request has one
   * @return false if the connection has ended, so the request must not be executed
   */
  public boolean requestRead(Optional<StatementId> statement) {
    State known = state.get();
    return known instanceof State.Waiting
        && state.compareAndSet(known, new State.Running(statement));
  }

  /** Returns whether the connection's thread may answer; false if a drain has answered. */
  public boolean beginAnswer() {
    State known = state.get();
    return known instanceof State.Running && state.compareAndSet(known, new State.Answering(false));
  }

  /**
   * Records that the answer was sent.
   *
   * @param inTransaction whether the client has an open transaction now
   * @return whether to wait for another request
   */
  public boolean answered(boolean inTransaction) {
    State known = state.get();
    return known instanceof State.Answering(boolean last)
        && !last
        && state.compareAndSet(known, new State.Waiting(clock.instant(), inTransaction, false));
  }

  /**
   * Chooses the connection to be closed if it waits outside of a transaction and has done so for
   * some time. The caller then ends its input: what has been read until then is still answered.
   */
  public boolean leaveIfIdle(Duration minimumIdleTime, InputCheck input) {
    return state.get() instanceof State.Waiting waiting
        && !waiting.inTransaction()
        && !waiting.leaving()
        && Duration.between(waiting.since(), clock.instant()).compareTo(minimumIdleTime) >= 0
        && !input.hasUnreadInput()
        && state.compareAndSet(waiting, new State.Waiting(waiting.since(), false, true));
  }

  /** Ends the connection in any state. */
  public Ending end() {
    while (true) {
      State known = state.get();
      State next = known instanceof State.Answering ? new State.Answering(true) : new State.Ended();
      if (state.compareAndSet(known, next)) {
        return ending(known);
      }
    }
  }

  /** Returns the statement that has been read and not answered; empty if there is none. */
  public Optional<StatementId> openStatement() {
    return state.get() instanceof State.Running(Optional<StatementId> statement)
        ? statement
        : Optional.empty();
  }

  private static Ending ending(State known) {
    return switch (known) {
      case State.Waiting _ -> new Ending.Idle();
      case State.Running(Optional<StatementId> statement) -> new Ending.RequestOpen(statement);
      case State.Answering _ -> new Ending.Answering();
      case State.Ended _ -> new Ending.Earlier();
    };
  }

  /** Looks for input that the connection's thread has not read yet. */
  @FunctionalInterface
  public interface InputCheck {
    /** Returns whether there is such input. */
    boolean hasUnreadInput();
  }
}

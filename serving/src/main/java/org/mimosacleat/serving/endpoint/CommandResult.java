package org.mimosacleat.serving.endpoint;

import java.time.Instant;
import java.util.List;
import org.mimosacleat.serving.statement.Answer;

/** The result of commands that were sent to an endpoint. */
public sealed interface CommandResult {
  /**
   * All commands were answered.
   *
   * @param answers one answer for each command
   * @param sentAt when the commands were sent
   */
  record Answered(List<Answer> answers, Instant sentAt) implements CommandResult {
    /** Copies the answers. */
    public Answered {
      answers = List.copyOf(answers);
    }

    /** Returns the answer to the last command. */
    public Answer last() {
      return answers.getLast();
    }
  }

  /**
   * The connection ended before all answers arrived; the commands may have run.
   *
   * @param reason why the connection ended
   */
  record Lost(String reason) implements CommandResult {}

  /** The deadline passed before all answers arrived; the commands may have run or may still run. */
  record TimedOut() implements CommandResult {}
}

package org.mimosacleat.serving.endpoint;

import java.time.Instant;
import java.util.List;
import org.mimosacleat.serving.statement.Answer;

/** What became of commands that were sent to an endpoint. */
public sealed interface LinkResult {
  /**
   * All were answered.
   *
   * @param answers one for each command
   * @param sentAt when they were sent
   */
  record Answered(List<Answer> answers, Instant sentAt) implements LinkResult {
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
   * The connection ended first; what was sent may have run.
   *
   * @param reason what happened to the connection
   */
  record Lost(String reason) implements LinkResult {}

  /** The deadline passed first; what was sent may have run or may still run. */
  record Late() implements LinkResult {}
}

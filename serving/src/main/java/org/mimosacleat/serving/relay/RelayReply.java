package org.mimosacleat.serving.relay;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.statement.Answer;

/**
 * The reply of a gateway.
 *
 * @param answer the answer for the client
 * @param lastWrite the position of the session's last write to the group
 */
public record RelayReply(Answer answer, Position lastWrite) {
  /** Checks that no component is null. */
  public RelayReply {
    Checks.notNull("answer", answer);
    Checks.notNull("position of the last write", lastWrite);
  }
}

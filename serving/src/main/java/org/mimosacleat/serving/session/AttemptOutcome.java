package org.mimosacleat.serving.session;

import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.serving.statement.Answer;

/** The outcome of one attempt. */
sealed interface AttemptOutcome {
  /**
   * An answer to return to the client.
   *
   * @param answer the final answer
   */
  record Final(Answer answer) implements AttemptOutcome {}

  /**
   * The attempt had no lasting effect, so another one may follow.
   *
   * @param failure the failure that the client gets if no further attempt is made
   * @param avoid the endpoint that the next attempt should not use
   */
  record Retry(Failure failure, Optional<EndpointId> avoid) implements AttemptOutcome {}
}

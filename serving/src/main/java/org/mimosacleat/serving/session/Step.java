package org.mimosacleat.serving.session;

import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.serving.statement.Answer;

/** The next step after one attempt. */
sealed interface Step {
  /**
   * Returns an answer to the client.
   *
   * @param answer the final answer
   */
  record Final(Answer answer) implements Step {}

  /**
   * Retries: the attempt had no lasting effect.
   *
   * @param failure the failure that the client gets if no further attempt is made
   * @param avoid the endpoint that the next attempt should not use
   */
  record Again(Failure failure, Optional<EndpointId> avoid) implements Step {}
}

package org.mimosacleat.serving.session;

import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.serving.statement.Answer;

/** What follows from one attempt. */
sealed interface Step {
  /**
   * The client gets this answer.
   *
   * @param answer the answer
   */
  record Final(Answer answer) implements Step {}

  /**
   * Nothing of the attempt is kept, so another one may follow.
   *
   * @param failure what the client gets if none does
   * @param avoid the endpoint that the next attempt should not use
   */
  record Again(Failure failure, Optional<EndpointId> avoid) implements Step {}
}

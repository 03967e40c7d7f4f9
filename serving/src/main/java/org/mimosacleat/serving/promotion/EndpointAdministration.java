package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;

/**
 * Queries and changes the role of endpoints. Each call opens its own connection. A failure of kind
 * {@code UNAVAILABLE} means that the endpoint could not be reached.
 */
public interface EndpointAdministration {
  /** Queries role, term and log position. */
  Either<Failure, EndpointStatus> status(EndpointEntry endpoint);

  /** Demotes a primary of a term below {@code term} to replica; otherwise changes nothing. */
  Either<Failure, EndpointStatus> demote(EndpointEntry endpoint, Term term);

  /**
   * Fences an endpoint so that it accepts no writes of a term below {@code term}.
   *
   * @return its status since then; empty if it could not be reached or is still a primary
   */
  default Optional<EndpointStatus> fence(EndpointEntry endpoint, Term term) {
    return demote(endpoint, term)
        .toJavaOptional()
        .filter(status -> status.role() == EndpointRole.REPLICA);
  }
}

package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;

/**
 * Asks endpoints about their role and changes it, each time over a connection of its own. A failure
 * of kind {@code UNAVAILABLE} means that the endpoint could not be reached.
 */
public interface EndpointAdministration {
  /** Asks for role, term and position. */
  Either<Failure, EndpointStatus> status(EndpointEntry endpoint);

  /** Makes a primary of a lower term a replica; others stay what they are. */
  Either<Failure, EndpointStatus> demote(EndpointEntry endpoint, Term term);

  /**
   * Fences an endpoint, so that it takes no write below a term.
   *
   * @return where its log ends; empty if it was not reached or is still a primary
   */
  default Optional<Position> fence(EndpointEntry endpoint, Term term) {
    return demote(endpoint, term)
        .toJavaOptional()
        .filter(status -> status.role() == EndpointRole.REPLICA)
        .map(EndpointStatus::received);
  }
}

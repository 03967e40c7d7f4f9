package org.mimosacleat.serving.endpoint;

import io.vavr.control.Either;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.fleet.EndpointEntry;

/** Opens connections to endpoints. */
public interface EndpointDialer {
  /**
   * Opens a connection and checks that the endpoint is the expected one.
   *
   * @param team the team that the connection is for, to which it stays bound; empty for callers
   *     without a team and for the proxy's own commands
   * @return the connection, or why it could not be opened; in that case no command has run
   */
  Either<Failure, EndpointConnection> dial(EndpointEntry endpoint, Optional<TeamId> team);
}

package org.mimosacleat.serving.peer;

import io.vavr.control.Either;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.ObservedConnection;
import org.mimosacleat.serving.endpoint.EndpointConnection;
import org.mimosacleat.serving.endpoint.EndpointDialer;
import org.mimosacleat.serving.fleet.EndpointEntry;

/** Connects all proxies of a fleet to one endpoint, which admits a limited number. */
final class AdmittingDialer implements EndpointDialer {
  final FakeEndpoint endpoint;
  private final int limit;
  int open;
  int mostOpen;
  int opened;
  int refused;

  AdmittingDialer(FakeEndpoint endpoint, int limit) {
    this.endpoint = endpoint;
    this.limit = limit;
  }

  @Override
  public Either<Failure, EndpointConnection> dial(EndpointEntry entry, Optional<TeamId> team) {
    if (open >= limit) {
      refused++;
      return Either.left(new Failure(ErrorKind.TOO_MANY_CONNECTIONS, "limit reached"));
    }
    open++;
    opened++;
    mostOpen = Math.max(mostOpen, open);
    return Either.right(new ObservedConnection(endpoint.connect(), () -> open--));
  }
}

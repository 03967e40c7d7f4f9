package org.mimosacleat.serving;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.endpoint.EndpointConnection;
import org.mimosacleat.serving.endpoint.EndpointDialer;
import org.mimosacleat.serving.fleet.EndpointEntry;

/** Connects to fake endpoints. */
public final class FakeDialer implements EndpointDialer {
  private final Map<EndpointId, FakeEndpoint> endpoints = new HashMap<>();

  /** Creates a dialer for these endpoints. */
  public FakeDialer(FakeEndpoint... all) {
    for (FakeEndpoint endpoint : all) {
      endpoints.put(endpoint.id(), endpoint);
    }
  }

  /** Adds an endpoint that can be reached from now on. */
  public void add(FakeEndpoint endpoint) {
    endpoints.put(endpoint.id(), endpoint);
  }

  @Override
  public Either<Failure, EndpointConnection> dial(EndpointEntry entry, Optional<TeamId> team) {
    FakeEndpoint endpoint = endpoints.get(entry.id());
    return endpoint.reachable
        ? Either.right(endpoint.connect())
        : Either.left(new Failure(ErrorKind.UNAVAILABLE, "unreachable"));
  }
}

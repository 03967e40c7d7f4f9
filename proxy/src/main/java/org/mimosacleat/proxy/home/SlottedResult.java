package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.proxy.endpoint.EndpointConnection;

/**
 * What became of a batch that was to run in a slot.
 *
 * @param connection the connection that it was sent on; empty if it was not sent
 * @param result its answer, or why there is none
 */
record SlottedResult(Optional<EndpointConnection> connection, Either<Failure, BatchResult> result) {
  static SlottedResult notSent(Failure failure) {
    return new SlottedResult(Optional.empty(), Either.left(failure));
  }

  static SlottedResult sent(EndpointConnection connection, Either<Failure, BatchResult> result) {
    return new SlottedResult(Optional.of(connection), result);
  }
}

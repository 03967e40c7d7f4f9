package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.proxy.endpoint.EndpointConnection;

/**
 * The result of a batch that was to run in a slot.
 *
 * @param connection the connection on which the batch was sent; empty if it was not sent
 * @param result the result of the batch, or why it failed
 */
record SlottedBatchResult(
    Optional<EndpointConnection> connection, Either<Failure, BatchResult> result) {
  static SlottedBatchResult notSent(Failure failure) {
    return new SlottedBatchResult(Optional.empty(), Either.left(failure));
  }

  static SlottedBatchResult sent(
      EndpointConnection connection, Either<Failure, BatchResult> result) {
    return new SlottedBatchResult(Optional.of(connection), result);
  }
}

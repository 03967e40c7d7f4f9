package org.mimosacleat.proxy.caller;

import io.vavr.control.Either;
import java.io.IOException;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;

/** Finds out which customer a client is. */
@FunctionalInterface
interface CallerAuthenticator {
  /** Runs the exchange for {@code user}; the success message is left to the caller. */
  Either<Failure, CustomerId> authenticate(String user, FrameReader reader, FrameWriter writer)
      throws IOException;
}

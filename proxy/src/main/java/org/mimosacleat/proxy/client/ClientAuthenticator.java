package org.mimosacleat.proxy.client;

import io.vavr.control.Either;
import java.io.IOException;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;

/** Authenticates a client as a customer. */
@FunctionalInterface
interface ClientAuthenticator {
  /** Runs the authentication exchange without sending AuthenticationOk. */
  Either<Failure, TeamId> authenticate(String user, FrameReader reader, FrameWriter writer)
      throws IOException;
}

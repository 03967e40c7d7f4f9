package org.mimosacleat.proxy.client;

import io.vavr.control.Either;
import java.time.Duration;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;

/** Accepts any user in the list of plans without a password. For tests and demonstrations. */
final class TrustAuthenticator implements ClientAuthenticator {
  private static final Duration LIST_WAIT_TIMEOUT = Duration.ofSeconds(5);

  private final CustomerDirectory customers;

  TrustAuthenticator(CustomerDirectory customers) {
    this.customers = customers;
  }

  @Override
  public Either<Failure, TeamId> authenticate(String user, FrameReader reader, FrameWriter writer) {
    TeamId customer = new TeamId(user);
    boolean ready = customers.awaitReady(LIST_WAIT_TIMEOUT);
    return ready && customers.find(customer).isPresent()
        ? Either.right(customer)
        : Either.left(
            new Failure(ErrorKind.AUTHENTICATION_FAILED, "customer '" + user + "' is not listed"));
  }
}

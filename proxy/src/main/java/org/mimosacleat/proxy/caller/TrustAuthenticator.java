package org.mimosacleat.proxy.caller;

import io.vavr.control.Either;
import java.time.Duration;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;

/** Believes the user name, if the list of plans has it. For tests and demonstrations. */
final class TrustAuthenticator implements CallerAuthenticator {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(5);

  private final CustomerDirectory customers;

  TrustAuthenticator(CustomerDirectory customers) {
    this.customers = customers;
  }

  @Override
  public Either<Failure, CustomerId> authenticate(
      String user, FrameReader reader, FrameWriter writer) {
    CustomerId customer = new CustomerId(user);
    boolean ready = customers.awaitReady(START_TIMEOUT);
    return ready && customers.find(customer).isPresent()
        ? Either.right(customer)
        : Either.left(
            new Failure(ErrorKind.AUTHENTICATION_FAILED, "customer '" + user + "' is not listed"));
  }
}

package org.mimosacleat.proxy.client;

import io.vavr.control.Either;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.lists.CustomerAllowance;
import org.mimosacleat.core.settings.Secret;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.authentication.ScramServer;
import org.mimosacleat.wire.postgres.authentication.ScramVerifier;

/**
 * Authenticates clients by SCRAM-SHA-256 against the verifier in the list of plans. The exchange
 * for an unknown user is the same as for a wrong password, so that it does not reveal which users
 * exist.
 */
final class ScramAuthenticator implements ClientAuthenticator {
  private static final int SECRET_BYTES = 32;

  /** How long clients of a newly started proxy wait for the lists. */
  private static final Duration LIST_WAIT_TIMEOUT = Duration.ofSeconds(5);

  private final CustomerDirectory customers;
  private final SecureRandom random;
  private final byte[] mockSecret = new byte[SECRET_BYTES];

  ScramAuthenticator(CustomerDirectory customers, SecureRandom random) {
    this.customers = customers;
    this.random = random;
    random.nextBytes(mockSecret);
  }

  @Override
  public Either<Failure, TeamId> authenticate(String user, FrameReader reader, FrameWriter writer)
      throws IOException {
    if (!customers.awaitReady(LIST_WAIT_TIMEOUT)) {
      return Either.left(
          new Failure(ErrorKind.UNAVAILABLE, "this proxy has not yet read the list of customers"));
    }
    Optional<ScramVerifier> verifier = verifierOf(user);
    ScramServer server =
        new ScramServer(
            user, verifier.orElseGet(() -> ScramVerifier.mock(user, mockSecret)), random);
    writer.write(server.offer());
    Either<Failure, Frame> challenge = server.serverFirst(reader.read());
    if (challenge.isLeft()) {
      return Either.left(challenge.getLeft());
    }
    writer.write(challenge.get());
    Either<Failure, Frame> outcome = server.serverFinal(reader.read());
    if (outcome.isLeft()) {
      return Either.left(outcome.getLeft());
    }
    writer.write(outcome.get());
    return Either.right(new TeamId(user));
  }

  private Optional<ScramVerifier> verifierOf(String user) {
    return customers
        .find(new TeamId(user))
        .map(CustomerAllowance::customer)
        .flatMap(customer -> customer.scramVerifier())
        .map(Secret::value)
        .map(ScramVerifier::parse);
  }
}

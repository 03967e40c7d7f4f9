package org.mimosacleat.wire.postgres.authentication;

import com.ongres.scram.common.StringPreparation;
import com.ongres.scram.common.exception.ScramException;
import io.vavr.control.Either;
import java.util.List;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;

/**
 * The client side of one SCRAM-SHA-256 exchange.
 *
 * <p>Pass the server's mechanism offer to {@link #clientFirst}, its server-first-message to {@link
 * #clientFinal}, and its server-final-message to {@link #verifyServerFinal}; send the frames that
 * the first two return. A server that does not prove that it holds the verifier is rejected.
 */
public final class ScramClient {
  private static final String MECHANISM = ScramVerifier.MECHANISM.getName();

  private final com.ongres.scram.client.ScramClient client;

  /** Starts an exchange; the password is not kept after {@link #clientFinal}. */
  public ScramClient(String user, char[] password) {
    this.client =
        com.ongres.scram.client.ScramClient.builder()
            .advertisedMechanisms(List.of(MECHANISM))
            .username(user)
            .password(password.clone())
            .stringPreparation(StringPreparation.POSTGRESQL_PREPARATION)
            .build();
  }

  /** Reads the mechanism offer and returns the client-first-message. */
  public Either<Failure, Frame> clientFirst(Frame offer) {
    try {
      List<String> mechanisms = AuthenticationFrames.offeredMechanisms(offer);
      if (!mechanisms.contains(MECHANISM)) {
        return authenticationFailed(
            "the server offers the SASL mechanisms " + mechanisms + ", but not " + MECHANISM);
      }
      String message = client.clientFirstMessage().toString();
      return Either.right(AuthenticationFrames.initialResponse(MECHANISM, message));
    } catch (FrameException malformed) {
      return protocolViolation(malformed);
    }
  }

  /** Reads the server-first-message and returns the client-final-message with the proof. */
  public Either<Failure, Frame> clientFinal(Frame serverFirst) {
    try {
      client.serverFirstMessage(
          AuthenticationFrames.readServerMessage(serverFirst, AuthenticationFrames.SASL_CONTINUE));
      return Either.right(AuthenticationFrames.response(client.clientFinalMessage().toString()));
    } catch (FrameException malformed) {
      return protocolViolation(malformed);
    } catch (ScramException | IllegalArgumentException malformed) {
      return protocolViolation(malformed);
    }
  }

  /** Checks the signature in the server-final-message and returns the frame that carried it. */
  public Either<Failure, Frame> verifyServerFinal(Frame serverFinal) {
    try {
      client.serverFinalMessage(
          AuthenticationFrames.readServerMessage(serverFinal, AuthenticationFrames.SASL_FINAL));
      return Either.right(serverFinal);
    } catch (FrameException malformed) {
      return protocolViolation(malformed);
    } catch (ScramException | IllegalArgumentException wrong) {
      return authenticationFailed("the server did not prove that it holds the password verifier");
    }
  }

  private static Either<Failure, Frame> authenticationFailed(String detail) {
    return Either.left(new Failure(ErrorKind.AUTHENTICATION_FAILED, detail));
  }

  private static Either<Failure, Frame> protocolViolation(Exception malformed) {
    return Either.left(
        new Failure(ErrorKind.PROTOCOL_VIOLATION, "SCRAM: " + malformed.getMessage()));
  }
}

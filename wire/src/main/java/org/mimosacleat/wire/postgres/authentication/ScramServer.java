package org.mimosacleat.wire.postgres.authentication;

import com.ongres.scram.common.ScramFunctions;
import io.vavr.control.Either;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Base64;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;

/**
 * The server side of one SCRAM-SHA-256 exchange.
 *
 * <p>Send {@link #offer}, pass the client's response to {@link #serverFirst} and send the returned
 * frame, then do the same with {@link #serverFinal}. If both succeed, the client is authenticated
 * and authentication-ok may follow. On a failure, send it and close the connection. For a user that
 * does not exist, use {@link ScramVerifier#mock}.
 */
public final class ScramServer {
  private static final String MECHANISM = ScramVerifier.MECHANISM.getName();
  private static final int NONCE_CHARACTERS = 24;

  private final String user;
  private final ScramVerifier verifier;
  private final String serverNonce;
  private ClientFirstMessage clientFirst;
  private String serverFirst;

  /** Starts an exchange with {@code user}. */
  public ScramServer(String user, ScramVerifier verifier, SecureRandom random) {
    this.user = user;
    this.verifier = verifier;
    this.serverNonce = ScramFunctions.nonce(NONCE_CHARACTERS, random);
  }

  /** Returns the frame that offers the mechanism. */
  public Frame offer() {
    return AuthenticationFrames.offer(MECHANISM);
  }

  /** Reads the client-first-message and returns the server-first-message. */
  public Either<Failure, Frame> serverFirst(Frame initialResponse) {
    try {
      clientFirst =
          ClientFirstMessage.parse(
              AuthenticationFrames.readInitialResponse(initialResponse, MECHANISM));
    } catch (FrameException malformed) {
      return protocolViolation(malformed);
    }
    serverFirst =
        "r="
            + clientFirst.nonce()
            + serverNonce
            + ",s="
            + Base64.getEncoder().encodeToString(verifier.salt())
            + ",i="
            + verifier.iterations();
    return Either.right(
        AuthenticationFrames.serverMessage(AuthenticationFrames.SASL_CONTINUE, serverFirst));
  }

  /** Checks the client's proof and returns the server-final-message with the server signature. */
  public Either<Failure, Frame> serverFinal(Frame response) {
    if (serverFirst == null) {
      throw new IllegalStateException(
          "the client-first-message must be processed before the client-final-message");
    }
    ClientFinalMessage clientFinal;
    try {
      clientFinal = ClientFinalMessage.parse(AuthenticationFrames.readResponse(response));
      checkExchange(clientFinal);
    } catch (FrameException malformed) {
      return protocolViolation(malformed);
    }
    String authMessage = clientFirst.bare() + "," + serverFirst + "," + clientFinal.withoutProof();
    if (!isProofValid(clientFinal.proof(), authMessage)) {
      return Either.left(
          new Failure(
              ErrorKind.AUTHENTICATION_FAILED,
              "password authentication failed for user \"" + user + "\""));
    }
    byte[] signature =
        ScramFunctions.serverSignature(ScramVerifier.MECHANISM, verifier.serverKey(), authMessage);
    String message = "v=" + Base64.getEncoder().encodeToString(signature);
    return Either.right(
        AuthenticationFrames.serverMessage(AuthenticationFrames.SASL_FINAL, message));
  }

  private void checkExchange(ClientFinalMessage clientFinal) throws FrameException {
    if (!clientFinal.nonce().equals(clientFirst.nonce() + serverNonce)) {
      throw new FrameException("SCRAM nonce does not belong to this exchange");
    }
    if (!clientFinal.channelBinding().equals(clientFirst.encodedGs2Header())) {
      throw new FrameException(
          "SCRAM channel binding differs from the header of the client-first-message");
    }
  }

  private boolean isProofValid(byte[] proof, String authMessage) {
    byte[] clientSignature =
        ScramFunctions.clientSignature(ScramVerifier.MECHANISM, verifier.storedKey(), authMessage);
    byte[] clientKey = ScramFunctions.clientProof(proof, clientSignature);
    byte[] storedKey = ScramFunctions.hash(ScramVerifier.MECHANISM, clientKey);
    return MessageDigest.isEqual(storedKey, verifier.storedKey());
  }

  private static Either<Failure, Frame> protocolViolation(FrameException malformed) {
    return Either.left(new Failure(ErrorKind.PROTOCOL_VIOLATION, malformed.getMessage()));
  }
}

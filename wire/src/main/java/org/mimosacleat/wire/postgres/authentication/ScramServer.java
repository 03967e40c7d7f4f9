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
 * <p>Send {@link #offer}, pass the client's answer to {@link #first} and send what it returns, then
 * the same with {@link #last}. If both succeed, the client is who it says it is, and
 * authentication-ok may follow. On a failure send it and close the connection. For a user that does
 * not exist use {@link ScramVerifier#mock}.
 */
public final class ScramServer {
  private static final String MECHANISM = ScramVerifier.MECHANISM.getName();
  private static final int NONCE_CHARACTERS = 24;

  private final String user;
  private final ScramVerifier verifier;
  private final String ownNonce;
  private ClientFirst clientFirst;
  private String serverFirst;

  /** Begins an exchange with {@code user}. */
  public ScramServer(String user, ScramVerifier verifier, SecureRandom random) {
    this.user = user;
    this.verifier = verifier;
    this.ownNonce = ScramFunctions.nonce(NONCE_CHARACTERS, random);
  }

  /** Returns the frame that offers the mechanism. */
  public Frame offer() {
    return AuthenticationFrames.offer(MECHANISM);
  }

  /** Reads the client's first message and returns the server's. */
  public Either<Failure, Frame> first(Frame initialResponse) {
    try {
      clientFirst =
          ClientFirst.parse(AuthenticationFrames.readInitialResponse(initialResponse, MECHANISM));
    } catch (FrameException malformed) {
      return violation(malformed);
    }
    serverFirst =
        "r="
            + clientFirst.nonce()
            + ownNonce
            + ",s="
            + Base64.getEncoder().encodeToString(verifier.salt())
            + ",i="
            + verifier.iterations();
    return Either.right(
        AuthenticationFrames.serverMessage(AuthenticationFrames.SASL_CONTINUE, serverFirst));
  }

  /** Checks the client's proof and returns the server's own. */
  public Either<Failure, Frame> last(Frame response) {
    if (serverFirst == null) {
      throw new IllegalStateException("the client's first message must come before its last");
    }
    ClientFinal clientFinal;
    try {
      clientFinal = ClientFinal.parse(AuthenticationFrames.readResponse(response));
      checkExchange(clientFinal);
    } catch (FrameException malformed) {
      return violation(malformed);
    }
    String exchange = clientFirst.bare() + "," + serverFirst + "," + clientFinal.withoutProof();
    if (!isProved(clientFinal.proof(), exchange)) {
      return Either.left(
          new Failure(
              ErrorKind.AUTHENTICATION_FAILED,
              "password authentication failed for user \"" + user + "\""));
    }
    byte[] signature =
        ScramFunctions.serverSignature(ScramVerifier.MECHANISM, verifier.serverKey(), exchange);
    String message = "v=" + Base64.getEncoder().encodeToString(signature);
    return Either.right(
        AuthenticationFrames.serverMessage(AuthenticationFrames.SASL_FINAL, message));
  }

  private void checkExchange(ClientFinal clientFinal) throws FrameException {
    if (!clientFinal.nonce().equals(clientFirst.nonce() + ownNonce)) {
      throw new FrameException("SCRAM nonce is not the one of this exchange");
    }
    if (!clientFinal.header().equals(clientFirst.encodedHeader())) {
      throw new FrameException("SCRAM channel binding differs from that of the first message");
    }
  }

  private boolean isProved(byte[] proof, String exchange) {
    byte[] clientSignature =
        ScramFunctions.clientSignature(ScramVerifier.MECHANISM, verifier.storedKey(), exchange);
    byte[] clientKey = ScramFunctions.clientProof(proof, clientSignature);
    byte[] storedKey = ScramFunctions.hash(ScramVerifier.MECHANISM, clientKey);
    return MessageDigest.isEqual(storedKey, verifier.storedKey());
  }

  private static Either<Failure, Frame> violation(FrameException malformed) {
    return Either.left(new Failure(ErrorKind.PROTOCOL_VIOLATION, malformed.getMessage()));
  }
}

package org.mimosacleat.wire.postgres.authentication;

import java.util.Base64;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mimosacleat.wire.postgres.FrameException;

/**
 * The client-final-message of SCRAM (RFC 5802).
 *
 * @param withoutProof the message up to, but without, the proof
 * @param channelBinding the GS2 header of the client-first-message, in base64
 * @param nonce the nonces of the client and the server, concatenated
 * @param proof proves that the client knows the password
 */
@SuppressWarnings("ArrayRecordComponent")
record ClientFinalMessage(String withoutProof, String channelBinding, String nonce, byte[] proof) {
  private static final Pattern TEXT =
      Pattern.compile("(c=([A-Za-z0-9+/=]+),r=([!-+\\--~]+)(?:,.*)?),p=([A-Za-z0-9+/=]+)");
  private static final int PROOF_BYTES = 32;

  static ClientFinalMessage parse(String message) throws FrameException {
    Matcher matcher = TEXT.matcher(message);
    if (!matcher.matches()) {
      throw new FrameException("malformed SCRAM client-final-message");
    }
    byte[] proof = decode(matcher.group(4));
    if (proof.length != PROOF_BYTES) {
      throw new FrameException(
          "SCRAM proof must have " + PROOF_BYTES + " bytes, but has " + proof.length);
    }
    return new ClientFinalMessage(matcher.group(1), matcher.group(2), matcher.group(3), proof);
  }

  private static byte[] decode(String base64) throws FrameException {
    try {
      return Base64.getDecoder().decode(base64);
    } catch (IllegalArgumentException malformed) {
      throw new FrameException("malformed SCRAM proof: not valid base64");
    }
  }
}

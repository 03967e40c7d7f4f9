package org.mimosacleat.wire.postgres.authentication;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mimosacleat.wire.postgres.FrameException;

/**
 * The client-first-message of SCRAM (RFC 5802). Its user name is ignored: PostgreSQL drivers leave
 * it empty or send a placeholder, and the parser of the SCRAM library rejects it.
 *
 * @param gs2Header the GS2 header, which states the use of channel binding
 * @param bare the client-first-message-bare, which is the rest of the message
 * @param nonce the client's nonce
 */
record ClientFirstMessage(String gs2Header, String bare, String nonce) {
  private static final Pattern TEXT = Pattern.compile("([ny],,)(n=[^,]*,r=([!-+\\--~]+))(,.*)?");

  static ClientFirstMessage parse(String message) throws FrameException {
    Matcher matcher = TEXT.matcher(message);
    if (!matcher.matches()) {
      throw new FrameException("malformed SCRAM client-first-message");
    }
    String extensions = matcher.group(4) == null ? "" : matcher.group(4);
    return new ClientFirstMessage(
        matcher.group(1), matcher.group(2) + extensions, matcher.group(3));
  }

  /** Returns the GS2 header in base64, as the client-final-message must repeat it. */
  String encodedGs2Header() {
    return Base64.getEncoder().encodeToString(gs2Header.getBytes(StandardCharsets.US_ASCII));
  }
}

package org.mimosacleat.wire.postgres.authentication;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mimosacleat.wire.postgres.FrameException;

/**
 * The first message of a client. The user name in it is not read: PostgreSQL drivers leave it empty
 * or send a placeholder, which the library's own parser refuses.
 *
 * @param header the part about channel binding
 * @param bare the rest
 * @param nonce the client's nonce
 */
record ClientFirst(String header, String bare, String nonce) {
  private static final Pattern TEXT = Pattern.compile("([ny],,)(n=[^,]*,r=([!-+\\--~]+))(,.*)?");

  static ClientFirst parse(String message) throws FrameException {
    Matcher matcher = TEXT.matcher(message);
    if (!matcher.matches()) {
      throw new FrameException("malformed first SCRAM message");
    }
    String extensions = matcher.group(4) == null ? "" : matcher.group(4);
    return new ClientFirst(matcher.group(1), matcher.group(2) + extensions, matcher.group(3));
  }

  /** Returns how the client's last message must repeat the header. */
  String encodedHeader() {
    return Base64.getEncoder().encodeToString(header.getBytes(StandardCharsets.US_ASCII));
  }
}

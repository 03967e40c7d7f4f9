package org.mimosacleat.proxy.endpoint;

import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;

/** Extracts the message from an error frame. */
final class ErrorText {
  private static final byte MESSAGE_FIELD = 'M';

  private ErrorText() {}

  static String of(Frame error) throws FrameException {
    BodyReader reader = new BodyReader(error);
    while (reader.remaining() > 1) {
      byte field = reader.readByte();
      String value = reader.readString();
      if (field == MESSAGE_FIELD) {
        return value;
      }
    }
    return "no message";
  }
}

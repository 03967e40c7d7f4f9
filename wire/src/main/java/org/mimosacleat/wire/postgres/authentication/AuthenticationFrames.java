package org.mimosacleat.wire.postgres.authentication;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyBuilder;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrontendType;

/** Creates and parses the frames that carry SASL messages. */
public final class AuthenticationFrames {
  /** The code of an authentication frame that reports success. */
  public static final int OK = 0;

  /** The code of an authentication frame that offers SASL mechanisms. */
  public static final int SASL = 10;

  /** The code of an authentication frame with the server's first message. */
  public static final int SASL_CONTINUE = 11;

  /** The code of an authentication frame with the server's last message. */
  public static final int SASL_FINAL = 12;

  private AuthenticationFrames() {}

  /** Returns the code of an authentication frame. */
  public static int code(Frame frame) throws FrameException {
    return expectType(frame, BackendType.AUTHENTICATION).readInt();
  }

  static Frame offer(String mechanism) {
    return new BodyBuilder()
        .int32(SASL)
        .string(mechanism)
        .int8(0)
        .frame(BackendType.AUTHENTICATION);
  }

  static List<String> offeredMechanisms(Frame frame) throws FrameException {
    BodyReader body = expectCode(frame, SASL);
    List<String> mechanisms = new ArrayList<>();
    for (String name = body.readString(); !name.isEmpty(); name = body.readString()) {
      mechanisms.add(name);
    }
    return mechanisms;
  }

  static Frame serverMessage(int code, String message) {
    return new BodyBuilder()
        .int32(code)
        .bytes(message.getBytes(StandardCharsets.UTF_8))
        .frame(BackendType.AUTHENTICATION);
  }

  static String readServerMessage(Frame frame, int code) throws FrameException {
    BodyReader body = expectCode(frame, code);
    return new String(body.readBytes(body.remaining()), StandardCharsets.UTF_8);
  }

  static Frame initialResponse(String mechanism, String message) {
    byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
    return new BodyBuilder()
        .string(mechanism)
        .int32(bytes.length)
        .bytes(bytes)
        .frame(FrontendType.PASSWORD);
  }

  static String readInitialResponse(Frame frame, String mechanism) throws FrameException {
    BodyReader body = expectType(frame, FrontendType.PASSWORD);
    String chosen = body.readString();
    if (!chosen.equals(mechanism)) {
      throw new FrameException("SASL mechanism must be " + mechanism + ", but was " + chosen);
    }
    int length = body.readInt();
    return new String(body.readBytes(length), StandardCharsets.UTF_8);
  }

  static Frame response(String message) {
    return new Frame(FrontendType.PASSWORD, message.getBytes(StandardCharsets.UTF_8));
  }

  static String readResponse(Frame frame) throws FrameException {
    BodyReader body = expectType(frame, FrontendType.PASSWORD);
    return new String(body.readBytes(body.remaining()), StandardCharsets.UTF_8);
  }

  private static BodyReader expectCode(Frame frame, int expected) throws FrameException {
    BodyReader body = expectType(frame, BackendType.AUTHENTICATION);
    int code = body.readInt();
    if (code != expected) {
      throw new FrameException("authentication code must be " + expected + ", but was " + code);
    }
    return body;
  }

  private static BodyReader expectType(Frame frame, byte type) throws FrameException {
    if (!frame.hasType(type)) {
      throw new FrameException(
          "authentication: expected frame " + (char) type + ", but got " + (char) frame.type());
    }
    return new BodyReader(frame);
  }
}

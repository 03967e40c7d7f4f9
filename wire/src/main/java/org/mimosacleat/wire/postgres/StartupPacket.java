package org.mimosacleat.wire.postgres;

import java.util.LinkedHashMap;
import java.util.Map;

/** The untyped packet that a client sends first. */
public sealed interface StartupPacket {
  /** The number by which version 3.0 of the protocol is asked for. */
  int PROTOCOL_VERSION = 196608;

  /** The number by which TLS is asked for. */
  int TLS_REQUEST_CODE = 80877103;

  /** The number by which GSSAPI encryption is asked for. */
  int GSSAPI_REQUEST_CODE = 80877104;

  /** The number that marks a cancel request. */
  int CANCEL_REQUEST_CODE = 80877102;

  /**
   * Opens a session.
   *
   * @param parameters startup options by name, for example {@code user} and {@code database}
   */
  record Startup(Map<String, String> parameters) implements StartupPacket {
    /** Copies the parameters. */
    public Startup {
      parameters = Map.copyOf(parameters);
    }
  }

  /** Asks for TLS; the server answers with one byte. */
  record TlsRequest() implements StartupPacket {}

  /** Asks for GSSAPI encryption; the server answers with one byte. */
  record GssapiRequest() implements StartupPacket {}

  /**
   * Asks to cancel the running statement of another connection.
   *
   * @param processId the first half of the key that the other connection was given
   * @param secretKey the second half
   */
  record Cancel(int processId, int secretKey) implements StartupPacket {}

  /** Reads the body that follows the length word. */
  static StartupPacket decode(byte[] body) throws FrameException {
    BodyReader reader = new BodyReader(body);
    int code = reader.readInt();
    return switch (code) {
      case TLS_REQUEST_CODE -> new TlsRequest();
      case GSSAPI_REQUEST_CODE -> new GssapiRequest();
      case CANCEL_REQUEST_CODE -> new Cancel(reader.readInt(), reader.readInt());
      case PROTOCOL_VERSION -> new Startup(readParameters(reader));
      default ->
          throw new FrameException(
              "startup packet: protocol "
                  + (code >>> Short.SIZE)
                  + "."
                  + (code & 0xFFFF)
                  + " is not supported, only 3.0 is");
    };
  }

  /** Returns the bytes of a startup packet with these parameters, its length word included. */
  static byte[] encode(Map<String, String> parameters) {
    BodyBuilder body = new BodyBuilder().integer(PROTOCOL_VERSION);
    parameters.forEach((name, value) -> body.string(name).string(value));
    return withLength(body.octet(0));
  }

  /** Returns the bytes of a cancel request, its length word included. */
  static byte[] encodeCancel(int processId, int secretKey) {
    return withLength(
        new BodyBuilder().integer(CANCEL_REQUEST_CODE).integer(processId).integer(secretKey));
  }

  private static byte[] withLength(BodyBuilder body) {
    byte[] bytes = body.toByteArray();
    return new BodyBuilder().integer(bytes.length + Frame.LENGTH_BYTES).bytes(bytes).toByteArray();
  }

  private static Map<String, String> readParameters(BodyReader reader) throws FrameException {
    Map<String, String> parameters = new LinkedHashMap<>();
    while (reader.remaining() > 1) {
      parameters.put(reader.readString(), reader.readString());
    }
    return parameters;
  }
}

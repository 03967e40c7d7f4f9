package org.mimosacleat.wire.postgres;

import java.util.LinkedHashMap;
import java.util.Map;

/** The first packet of a client, which has no type byte. */
public sealed interface StartupPacket {
  /** The code of version 3.0 of the protocol. */
  int PROTOCOL_VERSION = 196608;

  /** The code that requests TLS. */
  int TLS_REQUEST_CODE = 80877103;

  /** The code that requests GSSAPI encryption. */
  int GSSAPI_REQUEST_CODE = 80877104;

  /** The code of a cancel request. */
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

  /** Requests TLS; the server answers with one byte. */
  record TlsRequest() implements StartupPacket {}

  /** Requests GSSAPI encryption; the server answers with one byte. */
  record GssapiRequest() implements StartupPacket {}

  /**
   * Requests that the running statement of another connection be cancelled.
   *
   * @param processId the first half of the cancel key of the other connection
   * @param secretKey the second half
   */
  record CancelRequest(int processId, int secretKey) implements StartupPacket {}

  /** Decodes the body, which follows the length field. */
  static StartupPacket decode(byte[] body) throws FrameException {
    BodyReader reader = new BodyReader(body);
    int code = reader.readInt();
    return switch (code) {
      case TLS_REQUEST_CODE -> new TlsRequest();
      case GSSAPI_REQUEST_CODE -> new GssapiRequest();
      case CANCEL_REQUEST_CODE -> new CancelRequest(reader.readInt(), reader.readInt());
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

  /** Encodes a startup packet with the given parameters, including its length field. */
  static byte[] encode(Map<String, String> parameters) {
    BodyBuilder body = new BodyBuilder().int32(PROTOCOL_VERSION);
    parameters.forEach((name, value) -> body.string(name).string(value));
    return withLength(body.int8(0));
  }

  /** Encodes a cancel request, including its length field. */
  static byte[] encodeCancel(int processId, int secretKey) {
    return withLength(
        new BodyBuilder().int32(CANCEL_REQUEST_CODE).int32(processId).int32(secretKey));
  }

  private static byte[] withLength(BodyBuilder body) {
    byte[] bytes = body.toByteArray();
    return new BodyBuilder().int32(bytes.length + Frame.LENGTH_BYTES).bytes(bytes).toByteArray();
  }

  private static Map<String, String> readParameters(BodyReader reader) throws FrameException {
    Map<String, String> parameters = new LinkedHashMap<>();
    while (reader.remaining() > 1) {
      parameters.put(reader.readString(), reader.readString());
    }
    return parameters;
  }
}

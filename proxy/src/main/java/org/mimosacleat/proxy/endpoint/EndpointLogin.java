package org.mimosacleat.proxy.endpoint;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.Socket;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyBuilder;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.FrontendType;
import org.mimosacleat.wire.postgres.authentication.AuthenticationFrames;
import org.mimosacleat.wire.postgres.authentication.ScramClient;

/** Authenticates to an endpoint and reads up to its first ready-for-query. */
final class EndpointLogin {
  private static final int MAXIMUM_FRAME_BYTES = 64 * 1024;
  private static final int CLEARTEXT_PASSWORD = 3;

  private EndpointLogin() {}

  /**
   * Logs in over a socket whose startup packet was sent, with a frame reader that is dropped
   * afterwards. This loses no input, since an endpoint sends nothing unrequested after
   * ready-for-query.
   */
  static CancelKey logIn(Socket socket, EndpointAddress address) throws IOException {
    FrameReader reader = new FrameReader(socket.getInputStream(), MAXIMUM_FRAME_BYTES);
    FrameWriter writer = new FrameWriter(socket.getOutputStream());
    CancelKey cancelKey = new CancelKey(0, 0);
    while (true) {
      Frame frame = reader.read();
      switch (frame.type()) {
        case BackendType.AUTHENTICATION -> authenticate(frame, reader, writer, address);
        case BackendType.BACKEND_KEY_DATA -> {
          BodyReader body = new BodyReader(frame);
          cancelKey = new CancelKey(body.readInt(), body.readInt());
        }
        case BackendType.ERROR ->
            throw new IOException(
                "endpoint "
                    + address.endpoint()
                    + " refused the connection: "
                    + ErrorText.of(frame));
        case BackendType.READY_FOR_QUERY -> {
          return cancelKey;
        }
        default -> {
          // Parameter status and notices are not needed for a pooled connection.
        }
      }
    }
  }

  private static void authenticate(
      Frame frame, FrameReader reader, FrameWriter writer, EndpointAddress address)
      throws IOException {
    int method = AuthenticationFrames.code(frame);
    switch (method) {
      case AuthenticationFrames.OK -> {
        // Authentication was not required or has succeeded.
      }
      case CLEARTEXT_PASSWORD ->
          writer.write(
              new BodyBuilder().string(address.password().value()).frame(FrontendType.PASSWORD));
      case AuthenticationFrames.SASL -> runScram(frame, reader, writer, address);
      default ->
          throw new FrameException(
              "endpoint "
                  + address.endpoint()
                  + " requires unsupported authentication method "
                  + method
                  + "; supported are trust, password and SCRAM-SHA-256");
    }
  }

  private static void runScram(
      Frame offer, FrameReader reader, FrameWriter writer, EndpointAddress address)
      throws IOException {
    ScramClient client = new ScramClient(address.user(), address.password().value().toCharArray());
    writer.write(orThrow(client.clientFirst(offer)));
    writer.write(orThrow(client.clientFinal(reader.read())));
    orThrow(client.verifyServerFinal(reader.read()));
  }

  private static <T> T orThrow(Either<Failure, T> step) throws IOException {
    if (step.isLeft()) {
      throw new IOException(step.getLeft().detail());
    }
    return step.get();
  }
}

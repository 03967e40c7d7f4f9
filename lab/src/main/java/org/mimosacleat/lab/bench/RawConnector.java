package org.mimosacleat.lab.bench;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.StartupPacket;
import org.mimosacleat.wire.postgres.authentication.AuthenticationFrames;
import org.mimosacleat.wire.postgres.authentication.ScramClient;

/** Opens connections without a driver, to keep the memory of the client side small. */
final class RawConnector {
  private static final int MAX_FRAME_BYTES = 1 << 16;

  private final BenchTarget target;

  RawConnector(BenchTarget target) {
    this.target = target;
  }

  /** Opens a connection, logs in and waits until the server is ready for a query. */
  Socket connect() throws IOException {
    Socket socket = new Socket(target.address().getAddress(), target.address().getPort());
    try {
      logIn(socket);
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  private void logIn(Socket socket) throws IOException {
    FrameReader reader = new FrameReader(socket.getInputStream(), MAX_FRAME_BYTES);
    FrameWriter writer = new FrameWriter(socket.getOutputStream());
    writer.writeEncoded(
        StartupPacket.encode(Map.of("user", target.user(), "database", target.database())));
    Frame frame = reader.read();
    while (!frame.hasType(BackendType.READY_FOR_QUERY)) {
      if (frame.hasType(BackendType.ERROR)) {
        throw new IOException("login failed: " + target + " answered with an error");
      }
      if (frame.hasType(BackendType.AUTHENTICATION)
          && AuthenticationFrames.code(frame) == AuthenticationFrames.SASL) {
        authenticate(frame, reader, writer);
      }
      frame = reader.read();
    }
  }

  private void authenticate(Frame mechanisms, FrameReader reader, FrameWriter writer)
      throws IOException {
    ScramClient client = new ScramClient(target.user(), target.password().toCharArray());
    writer.write(getOrThrow(client.clientFirst(mechanisms)));
    writer.write(getOrThrow(client.clientFinal(reader.read())));
    getOrThrow(client.verifyServerFinal(reader.read()));
  }

  private static Frame getOrThrow(Either<Failure, Frame> result) throws IOException {
    if (result.isLeft()) {
      throw new IOException(result.getLeft().detail());
    }
    return result.get();
  }
}

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

/** Opens connections without a driver, so that the client's side weighs next to nothing. */
final class RawLogin {
  private static final int MAXIMUM_FRAME_BYTES = 1 << 16;

  private final BenchTarget target;

  RawLogin(BenchTarget target) {
    this.target = target;
  }

  /** Opens one connection and waits until it is ready for a query. */
  Socket open() throws IOException {
    Socket socket = new Socket(target.address().getAddress(), target.address().getPort());
    try {
      logIn(socket);
      return socket;
    } catch (IOException refused) {
      socket.close();
      throw refused;
    }
  }

  private void logIn(Socket socket) throws IOException {
    FrameReader reader = new FrameReader(socket.getInputStream(), MAXIMUM_FRAME_BYTES);
    FrameWriter writer = new FrameWriter(socket.getOutputStream());
    writer.writeEncoded(
        StartupPacket.encode(Map.of("user", target.user(), "database", target.database())));
    Frame frame = reader.read();
    while (!frame.hasType(BackendType.READY_FOR_QUERY)) {
      if (frame.hasType(BackendType.ERROR)) {
        throw new IOException("login at " + target + " was refused");
      }
      if (frame.hasType(BackendType.AUTHENTICATION)
          && AuthenticationFrames.code(frame) == AuthenticationFrames.SASL) {
        authenticate(frame, reader, writer);
      }
      frame = reader.read();
    }
  }

  private void authenticate(Frame offer, FrameReader reader, FrameWriter writer)
      throws IOException {
    ScramClient client = new ScramClient(target.user(), target.password().toCharArray());
    writer.write(require(client.clientFirst(offer)));
    writer.write(require(client.clientFinal(reader.read())));
    require(client.verifyServerFinal(reader.read()));
  }

  private static Frame require(Either<Failure, Frame> step) throws IOException {
    if (step.isLeft()) {
      throw new IOException(step.getLeft().detail());
    }
    return step.get();
  }
}

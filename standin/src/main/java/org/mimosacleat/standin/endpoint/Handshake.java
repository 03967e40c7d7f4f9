package org.mimosacleat.standin.endpoint;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.StartupPacket;
import org.mimosacleat.wire.postgres.TransactionStatus;
import org.mimosacleat.wire.postgres.authentication.ScramServer;
import org.mimosacleat.wire.postgres.authentication.ScramVerifier;

/** Reads and writes the packets that open a connection. */
final class Handshake {
  private static final int ENCRYPTION_REFUSED = 'N';

  private static final SecureRandom SECURE_RANDOM = new SecureRandom();

  private Handshake() {}

  /** Reads the startup packet and refuses requests for encryption that precede it. */
  static StartupPacket readStartupPacket(FrameReader reader, OutputStream output)
      throws IOException {
    StartupPacket packet = reader.readStartup();
    while (packet instanceof StartupPacket.TlsRequest
        || packet instanceof StartupPacket.GssapiRequest) {
      output.write(ENCRYPTION_REFUSED);
      output.flush();
      packet = reader.readStartup();
    }
    return packet;
  }

  /** Authenticates the client by its password; on failure, sends an error and returns false. */
  static boolean authenticate(
      String user, ScramVerifier verifier, FrameReader reader, FrameWriter writer)
      throws IOException {
    ScramServer server = new ScramServer(user, verifier, SECURE_RANDOM);
    writer.write(server.offer());
    Either<Failure, Frame> serverFirst = server.serverFirst(reader.read());
    if (serverFirst.isLeft()) {
      writer.write(Frames.fatal(serverFirst.getLeft()));
      return false;
    }
    writer.write(serverFirst.get());
    Either<Failure, Frame> serverFinal = server.serverFinal(reader.read());
    writer.write(serverFinal.getOrElseGet(Frames::fatal));
    return serverFinal.isRight();
  }

  /** Returns the frames that the server sends at the start of a session. */
  static List<Frame> sessionStartFrames(BackendKey key, boolean replica) {
    Map<String, String> parameters =
        Map.of(
            "server_version", SessionSettings.SERVER_VERSION,
            "server_encoding", "UTF8",
            "client_encoding", "UTF8",
            "DateStyle", "ISO, MDY",
            "TimeZone", "UTC",
            "integer_datetimes", "on",
            "standard_conforming_strings", "on",
            "in_hot_standby", replica ? "on" : "off");
    List<Frame> frames = new ArrayList<>();
    frames.add(Frames.authenticationOk());
    parameters.forEach((name, value) -> frames.add(Frames.parameterStatus(name, value)));
    frames.add(Frames.backendKeyData(key.processId(), key.secretKey()));
    frames.add(Frames.readyForQuery(TransactionStatus.IDLE));
    return frames;
  }
}

package org.mimosacleat.standin.endpoint;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.StartupPacket;
import org.mimosacleat.wire.postgres.TransactionStatus;

/** The first packets of a connection. */
final class Handshake {
  private static final int REFUSE_ENCRYPTION = 'N';

  private Handshake() {}

  /** Reads the startup packet and refuses encryption on the way. */
  static StartupPacket read(FrameReader reader, OutputStream output) throws IOException {
    StartupPacket packet = reader.readStartup();
    while (packet instanceof StartupPacket.TlsRequest
        || packet instanceof StartupPacket.GssapiRequest) {
      output.write(REFUSE_ENCRYPTION);
      output.flush();
      packet = reader.readStartup();
    }
    return packet;
  }

  /** Returns the frames that open a session. */
  static List<Frame> welcome(BackendKey key, boolean replica) {
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

package org.mimosacleat.standin.endpoint;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyBuilder;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameReader;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.FrontendType;
import org.mimosacleat.wire.postgres.StartupPacket;
import org.mimosacleat.wire.postgres.authentication.ScramVerifier;

@Timeout(30)
class MalformedFrameTest {
  private static final long SEED = 13;
  private static final String PASSWORD = "tūī";

  private final EndpointStandin trustEndpoint = endpoint(settings());
  private final EndpointStandin passwordEndpoint =
      endpoint(
          settings()
              .withVerifier(ScramVerifier.of(PASSWORD.toCharArray(), 4096, new SecureRandom())));

  @BeforeEach
  void start() {
    trustEndpoint.start();
    passwordEndpoint.start();
  }

  @AfterEach
  void stop() {
    trustEndpoint.close();
    passwordEndpoint.close();
  }

  @Test
  void oversizedFrameClosesOnlyItsConnection() throws Exception {
    byte[] header =
        new BodyBuilder()
            .int8(FrontendType.QUERY)
            .int32(EndpointStandin.MAX_FRAME_BYTES)
            .toByteArray();
    assertClosesOnlyItsConnection(header, "over the limit");
  }

  @Test
  void truncatedBindClosesOnlyItsConnection() throws Exception {
    Frame bind = new BodyBuilder().string("").frame(FrontendType.BIND);
    assertClosesOnlyItsConnection(FrameWriter.encode(List.of(bind)), "no closing zero");
  }

  @Test
  void unknownFrameTypeClosesOnlyItsConnection() throws Exception {
    assertClosesOnlyItsConnection(
        FrameWriter.encode(List.of(new Frame((byte) '?', new byte[0]))), "unknown type");
  }

  @Test
  void unsupportedProtocolVersionIsReported() throws Exception {
    try (Socket socket = connect(trustEndpoint)) {
      socket
          .getOutputStream()
          .write(new BodyBuilder().int32(8).int32(2 << Short.SIZE).toByteArray());
      assertFatal(new FrameReader(socket.getInputStream(), 4096), "protocol 2.0");
    }
  }

  @Test
  void encryptionIsRefusedWithOneByte() throws Exception {
    try (Socket socket = connect(trustEndpoint)) {
      socket
          .getOutputStream()
          .write(new BodyBuilder().int32(8).int32(StartupPacket.TLS_REQUEST_CODE).toByteArray());
      assertArrayEquals(new byte[] {'N'}, socket.getInputStream().readNBytes(1));
    }
  }

  @Test
  void driverLogsInOnlyWithTheRightPassword() throws SQLException {
    String url = "jdbc:postgresql://127.0.0.1:" + passwordEndpoint.address().getPort() + "/test";
    try (Connection connection = DriverManager.getConnection(url, "proxy", PASSWORD)) {
      assertEquals(List.of("1"), JdbcClient.firstRow(connection, "SELECT 1"));
    }
    SQLException error =
        assertThrows(SQLException.class, () -> DriverManager.getConnection(url, "proxy", "moa"));
    assertEquals("28P01", error.getSQLState());
  }

  private void assertClosesOnlyItsConnection(byte[] malformed, String reason) throws Exception {
    try (Connection otherConnection = JdbcClient.connect(trustEndpoint);
        Socket socket = connect(trustEndpoint)) {
      socket.getOutputStream().write(StartupPacket.encode(Map.of("user", "test")));
      FrameReader reader = new FrameReader(socket.getInputStream(), 4096);
      Frame frame = reader.read();
      while (!frame.hasType(BackendType.READY_FOR_QUERY)) {
        frame = reader.read();
      }
      socket.getOutputStream().write(malformed);
      assertFatal(reader, reason);
      assertEquals(List.of("1"), JdbcClient.firstRow(otherConnection, "SELECT 1"));
    }
  }

  private static void assertFatal(FrameReader reader, String reason) throws IOException {
    Frame error = reader.read();
    assertEquals(BackendType.ERROR, error.type());
    String text = new String(error.body(), StandardCharsets.UTF_8);
    assertTrue(text.contains("08P01") && text.contains(reason), text);
    assertThrows(EOFException.class, reader::read);
  }

  private static Socket connect(EndpointStandin endpoint) throws IOException {
    return new Socket(endpoint.address().getAddress(), endpoint.address().getPort());
  }

  private static EndpointSettings settings() {
    return EndpointSettings.defaults().withConnectDelay(Duration.ZERO);
  }

  private static EndpointStandin endpoint(EndpointSettings settings) {
    return new EndpointStandin(
        new EndpointId("lone"),
        new AvailabilityZone("oriental"),
        settings,
        new MonotonicClock(),
        new SplittableRandom(SEED),
        new ReplicationDirectory());
  }
}

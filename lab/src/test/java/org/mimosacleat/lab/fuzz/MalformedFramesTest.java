package org.mimosacleat.lab.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.Statement;
import java.util.Random;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.lab.demo.LocalFleet;
import org.mimosacleat.lab.demo.LocalFleetConfig;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.mimosacleat.wire.peer.PeerChannel;

/** Malformed frames end only their own connection; another open connection keeps working. */
class MalformedFramesTest {
  private static final GroupId GROUP = new GroupId("lending-1");
  private static final int TRIES = 300;
  private static final int MAX_BYTES = 200;
  private static final int PROTOCOL_VERSION_3 = 196_608;
  private static final int READ_TIMEOUT_MS = 20_000;
  private static final int MAX_MESSAGE_BYTES = 1 << 20;
  private static final String FLEET_KEY = "key of a local demonstration";
  private static final String FRAME_TYPES = "QPBEDCSXHdcfzF\u0000";

  private static LocalFleet fleet;
  private static Connection otherConnection;

  @BeforeAll
  static void start() throws Exception {
    fleet = LocalFleet.start(LocalFleetConfig.small(GROUP.value()));
    otherConnection = fleet.connect(0, GROUP, "witness");
    try (Statement statement = otherConnection.createStatement()) {
      statement.execute("CREATE TABLE IF NOT EXISTS booking (id text PRIMARY KEY, meter text)");
      statement.execute("INSERT INTO booking (id, meter) VALUES ('b1', 'm1')");
    }
  }

  @AfterAll
  static void stop() throws Exception {
    otherConnection.close();
    fleet.close();
  }

  @AfterEach
  void otherConnectionStillWorks() throws Exception {
    try (Statement statement = otherConnection.createStatement();
        ResultSet found = statement.executeQuery("SELECT meter FROM booking WHERE id = 'b1'")) {
      found.next();
      assertEquals("m1", found.getString(1));
    }
  }

  @Test
  void randomBytesToTheClientPortEndTheirConnection() throws IOException {
    sendInputs(
        "client port, random bytes", fleet.proxies().get(0).clientAddress(), this::randomBytes);
  }

  @Test
  void malformedFramesAfterStartupEndTheirConnection() throws IOException {
    sendInputs(
        "client port, malformed frames",
        fleet.proxies().get(0).clientAddress(),
        this::malformedFrames);
  }

  @Test
  void randomBytesToThePeerPortEndTheirConnection() throws IOException {
    sendInputs("peer port, random bytes", fleet.proxies().get(0).peerAddress(), this::randomBytes);
  }

  @Test
  void unknownFrameTypeGetsAnErrorThatNamesIt() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(startup());
    bytes.writeBytes(frame('z', new byte[0]));
    String answer = exchange(fleet.proxies().get(0).clientAddress(), bytes.toByteArray());
    assertTrue(answer.contains("08P01"), answer);
  }

  @Test
  void wrongPeerKeyIsRefused() throws Exception {
    InetSocketAddress address = fleet.proxies().get(0).peerAddress();
    for (int attempt = 0; attempt < 20; attempt++) {
      try (Socket socket = open(address)) {
        PeerChannel channel =
            new PeerChannel(socket.getInputStream(), socket.getOutputStream(), MAX_MESSAGE_BYTES);
        PeerAuthenticator wrong =
            new PeerAuthenticator(
                new VmId("vm-9"), "a wrong key of the fleet " + attempt, new SecureRandom());
        assertThrows(IOException.class, () -> wrong.authenticate(channel));
      }
    }
    System.out.println("peer port, wrong keys: 20 tries, 20 refused");
  }

  @Test
  void replayedHandshakeIsRefused() throws Exception {
    InetSocketAddress address = fleet.proxies().get(0).peerAddress();
    byte[] recorded = recordHandshake(address);
    for (int attempt = 0; attempt < 20; attempt++) {
      try (Socket socket = open(address)) {
        socket.getOutputStream().write(recorded);
        PeerChannel channel =
            new PeerChannel(socket.getInputStream(), socket.getOutputStream(), MAX_MESSAGE_BYTES);
        channel.read();
        channel.read();
        assertThrows(IOException.class, channel::read, "the replayed handshake was accepted");
      }
    }
    System.out.println("peer port, replayed handshakes: 20 tries, 20 refused");
  }

  private static byte[] recordHandshake(InetSocketAddress address) throws Exception {
    ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    try (Socket socket = open(address)) {
      OutputStream copying =
          new FilterOutputStream(socket.getOutputStream()) {
            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
              recorded.write(bytes, offset, length);
              out.write(bytes, offset, length);
            }
          };
      PeerChannel channel = new PeerChannel(socket.getInputStream(), copying, MAX_MESSAGE_BYTES);
      new PeerAuthenticator(new VmId("vm-9"), FLEET_KEY, new SecureRandom()).authenticate(channel);
    }
    return recorded.toByteArray();
  }

  private void sendInputs(String name, InetSocketAddress address, InputGenerator generator)
      throws IOException {
    Random random = new Random(FuzzRunner.SEED);
    int answered = 0;
    for (int attempt = 0; attempt < TRIES; attempt++) {
      String answer = exchange(address, generator.next(random));
      answered += answer.isEmpty() ? 0 : 1;
    }
    System.out.println(
        name + ": seed " + FuzzRunner.SEED + ", " + TRIES + " tries, " + answered + " answered");
  }

  private byte[] randomBytes(Random random) {
    byte[] bytes = new byte[1 + random.nextInt(MAX_BYTES)];
    random.nextBytes(bytes);
    return bytes;
  }

  private byte[] malformedFrames(Random random) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(startup());
    int frames = 1 + random.nextInt(3);
    for (int frame = 0; frame < frames; frame++) {
      char type = FRAME_TYPES.charAt(random.nextInt(FRAME_TYPES.length()));
      byte[] complete = frame(type, randomBytes(random));
      if (random.nextInt(3) == 0) {
        ByteBuffer.wrap(complete).putInt(1, random.nextInt());
      }
      int sentLength = random.nextInt(3) == 0 ? random.nextInt(complete.length) : complete.length;
      bytes.write(complete, 0, sentLength);
    }
    return bytes.toByteArray();
  }

  private static byte[] startup() {
    byte[] body = ("user\0members\0database\0" + GROUP + "\0\0").getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(2 * Integer.BYTES + body.length)
        .putInt(2 * Integer.BYTES + body.length)
        .putInt(PROTOCOL_VERSION_3)
        .put(body)
        .array();
  }

  private static byte[] frame(char type, byte[] body) {
    return ByteBuffer.allocate(1 + Integer.BYTES + body.length)
        .put((byte) type)
        .putInt(Integer.BYTES + body.length)
        .put(body)
        .array();
  }

  /** Sends the bytes, shuts down the output, and reads until the proxy closes the connection. */
  private static String exchange(InetSocketAddress address, byte[] bytes) throws IOException {
    try (Socket socket = open(address)) {
      ByteArrayOutputStream answer = new ByteArrayOutputStream();
      try {
        socket.getOutputStream().write(bytes);
        socket.shutdownOutput();
        InputStream input = socket.getInputStream();
        input.transferTo(answer);
      } catch (java.net.SocketTimeoutException timeout) {
        throw timeout;
      } catch (IOException closedByProxy) {
        // The proxy closed the connection before it had read all bytes.
      }
      return answer.toString(StandardCharsets.ISO_8859_1);
    }
  }

  private static Socket open(InetSocketAddress address) throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  /** Generates the bytes of one try. */
  private interface InputGenerator {
    byte[] next(Random random);
  }
}

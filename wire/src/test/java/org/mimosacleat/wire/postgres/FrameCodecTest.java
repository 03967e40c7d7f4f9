package org.mimosacleat.wire.postgres;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class FrameCodecTest {
  private static final int MAX_FRAME_BYTES = 256;
  private static final String SEED = "41";

  @Property(seed = SEED)
  void framesRoundTrip(
      @ForAll byte type, @ForAll @Size(max = 8) List<@Size(max = 200) byte[]> bodies)
      throws IOException {
    List<Frame> frames = bodies.stream().map(body -> new Frame(type, body)).toList();
    FrameReader reader = reader(FrameWriter.encode(frames));
    for (Frame frame : frames) {
      Frame read = reader.read();
      assertEquals(frame.type(), read.type());
      assertArrayEquals(frame.body(), read.body());
    }
    assertThrows(EOFException.class, reader::read);
  }

  @Property(seed = SEED)
  void arbitraryBytesGiveFramesOrAnIoException(@ForAll byte[] bytes) {
    FrameReader reader = reader(bytes);
    assertThrows(
        IOException.class,
        () -> {
          while (true) {
            assertTrue(reader.read().size() <= MAX_FRAME_BYTES);
          }
        });
  }

  @Property(seed = SEED)
  void invalidLengthIsRejectedBeforeTheBodyIsRead(@ForAll int length) {
    byte[] header = ByteBuffer.allocate(Frame.HEADER_BYTES).put((byte) 'Q').putInt(length).array();
    boolean isValid = length >= Frame.LENGTH_BYTES && length < MAX_FRAME_BYTES;
    Class<? extends IOException> expected =
        isValid && length > Frame.LENGTH_BYTES ? EOFException.class : FrameException.class;
    if (length != Frame.LENGTH_BYTES) {
      assertThrows(expected, () -> reader(header).read());
    }
  }

  @Property(seed = SEED)
  void arbitraryStartupPacketIsDecodedOrRejected(@ForAll byte[] bytes, @ForAll boolean versioned)
      throws FrameException {
    byte[] body = versioned ? withVersion(bytes) : bytes;
    try {
      StartupPacket.decode(body);
    } catch (FrameException refused) {
      assertTrue(refused.getMessage().length() > 0);
    }
  }

  @Property(seed = SEED)
  void startupParametersRoundTrip(
      @ForAll @Size(max = 5) Map<@IntRange(min = 1) Integer, Integer> numbers) throws IOException {
    Map<String, String> parameters = new java.util.HashMap<>();
    numbers.forEach((name, value) -> parameters.put("name" + name, "value" + value));
    byte[] packet = StartupPacket.encode(parameters);
    assertEquals(new StartupPacket.Startup(parameters), reader(packet).readStartup());
  }

  @Property(seed = SEED)
  void rowsWithNullsRoundTrip(@ForAll @Size(max = 20) List<Integer> numbers) throws FrameException {
    List<String> values = new ArrayList<>();
    numbers.forEach(number -> values.add(number < 0 ? null : "ā" + number));
    assertEquals(values, TextRows.values(Frames.textRow(values)));
  }

  @Property(seed = SEED)
  void arbitraryDataRowIsDecodedOrRejected(@ForAll byte[] bytes) {
    try {
      TextRows.values(new Frame(BackendType.DATA_ROW, bytes));
    } catch (FrameException refused) {
      assertTrue(refused.getMessage().length() > 0);
    }
  }

  private static FrameReader reader(byte[] bytes) {
    return new FrameReader(new ByteArrayInputStream(bytes), MAX_FRAME_BYTES);
  }

  private static byte[] withVersion(byte[] bytes) {
    return new BodyBuilder().int32(StartupPacket.PROTOCOL_VERSION).bytes(bytes).toByteArray();
  }
}

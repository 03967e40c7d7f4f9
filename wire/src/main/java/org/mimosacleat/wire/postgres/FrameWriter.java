package org.mimosacleat.wire.postgres;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;

/**
 * Writes frames to a stream. Each call makes a single write to the stream, so that a batch is sent
 * in as few packets as possible. Each connection has one writer, which is not thread-safe.
 */
public final class FrameWriter {
  private final OutputStream output;

  /** Creates a writer to {@code output}, which should be unbuffered. */
  public FrameWriter(OutputStream output) {
    this.output = output;
  }

  /** Writes one frame. */
  public void write(Frame frame) throws IOException {
    write(List.of(frame));
  }

  /** Writes several frames in a single write. */
  public void write(List<Frame> frames) throws IOException {
    output.write(encode(frames));
    output.flush();
  }

  /** Writes frames that are already encoded. */
  public void writeEncoded(byte[] frames) throws IOException {
    output.write(frames);
    output.flush();
  }

  /** Returns the wire encoding of frames. */
  public static byte[] encode(List<Frame> frames) {
    int size = frames.stream().mapToInt(Frame::size).sum();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(size);
    for (Frame frame : frames) {
      bytes.write(frame.type());
      writeInt(bytes, frame.body().length + Frame.LENGTH_BYTES);
      bytes.writeBytes(frame.body());
    }
    return bytes.toByteArray();
  }

  private static void writeInt(ByteArrayOutputStream bytes, int value) {
    bytes.write(value >>> 24);
    bytes.write(value >>> 16);
    bytes.write(value >>> 8);
    bytes.write(value);
  }
}

package org.mimosacleat.wire.postgres;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import org.mimosacleat.core.check.Checks;

/**
 * Reads frames from a stream. Each connection has one reader, used by one thread at a time. A frame
 * that is larger than the limit is refused before its body is read.
 */
public final class FrameReader {
  private static final int BUFFER_BYTES = 2048;

  private final BufferedInputStream input;
  private final int maximumFrameBytes;

  /** Reads from {@code input} frames of at most {@code maximumFrameBytes} with their header. */
  public FrameReader(InputStream input, int maximumFrameBytes) {
    this.input = new BufferedInputStream(input, BUFFER_BYTES);
    this.maximumFrameBytes =
        (int) Checks.atLeast("maximum frame size", maximumFrameBytes, Frame.HEADER_BYTES);
  }

  /**
   * Reads the next frame and waits for it.
   *
   * @throws EOFException if the stream ended, cleanly or within a frame
   * @throws FrameException if the length is impossible or over the limit
   */
  public Frame read() throws IOException {
    int type = input.read();
    if (type < 0) {
      throw new EOFException("connection closed");
    }
    return new Frame((byte) type, readBody("frame " + printable(type)));
  }

  /** Tells whether bytes of a further frame have arrived already. */
  public boolean hasBufferedInput() throws IOException {
    return input.available() > 0;
  }

  /** Reads the untyped first packet of a connection. */
  public StartupPacket readStartup() throws IOException {
    return StartupPacket.decode(readBody("startup packet"));
  }

  private byte[] readBody(String place) throws IOException {
    int length = ByteBuffer.wrap(readExactly(Frame.LENGTH_BYTES)).getInt();
    if (length < Frame.LENGTH_BYTES) {
      throw new FrameException(place + ": length " + length + " is smaller than the length word");
    }
    if (length >= maximumFrameBytes) {
      throw new FrameException(
          place + ": length " + length + " is over the limit of " + maximumFrameBytes + " bytes");
    }
    return readExactly(length - Frame.LENGTH_BYTES);
  }

  private byte[] readExactly(int count) throws IOException {
    byte[] bytes = new byte[count];
    int read = input.readNBytes(bytes, 0, count);
    if (read < count) {
      throw new EOFException("connection closed within a frame");
    }
    return bytes;
  }

  private static String printable(int type) {
    boolean isLetter = type > ' ' && type <= '~';
    return isLetter ? "'" + (char) type + "'" : "0x" + Integer.toHexString(type);
  }
}

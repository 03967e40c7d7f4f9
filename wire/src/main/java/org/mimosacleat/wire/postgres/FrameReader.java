package org.mimosacleat.wire.postgres;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import org.mimosacleat.core.check.Checks;

/**
 * Reads frames from a stream. Each connection has one reader, which is not thread-safe. A frame
 * over the size limit is rejected before its body is read.
 */
public final class FrameReader {
  private static final int READ_BUFFER_BYTES = 2048;

  private final BufferedInputStream input;
  private final int maxFrameBytes;

  /**
   * Creates a reader.
   *
   * @param input the stream to read from
   * @param maxFrameBytes the maximum size of a frame, including its header
   */
  public FrameReader(InputStream input, int maxFrameBytes) {
    this.input = new BufferedInputStream(input, READ_BUFFER_BYTES);
    this.maxFrameBytes =
        (int) Checks.atLeast("maximum frame size", maxFrameBytes, Frame.HEADER_BYTES);
  }

  /**
   * Reads the next frame; blocks until it arrives.
   *
   * @throws EOFException if the stream ends, at a frame boundary or within a frame
   * @throws FrameException if the length is invalid or over the limit
   */
  public Frame read() throws IOException {
    int type = input.read();
    if (type < 0) {
      throw new EOFException("connection closed");
    }
    return new Frame((byte) type, readBody("frame " + describeType(type)));
  }

  /** Returns whether bytes of another frame have already arrived. */
  public boolean hasBufferedInput() throws IOException {
    return input.available() > 0;
  }

  /** Reads the startup packet, which has no type byte; blocks until it arrives. */
  public StartupPacket readStartup() throws IOException {
    return StartupPacket.decode(readBody("startup packet"));
  }

  private byte[] readBody(String context) throws IOException {
    int length = ByteBuffer.wrap(readExactly(Frame.LENGTH_BYTES)).getInt();
    if (length < Frame.LENGTH_BYTES) {
      throw new FrameException(
          context + ": length " + length + " is smaller than the length field itself");
    }
    if (length >= maxFrameBytes) {
      throw new FrameException(
          context + ": length " + length + " is over the limit of " + maxFrameBytes + " bytes");
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

  private static String describeType(int type) {
    boolean isPrintable = type > ' ' && type <= '~';
    return isPrintable ? "'" + (char) type + "'" : "0x" + Integer.toHexString(type);
  }
}

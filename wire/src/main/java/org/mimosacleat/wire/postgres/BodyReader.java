package org.mimosacleat.wire.postgres;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads the fields of one frame's body in order. Every method fails at the end of the body. */
public final class BodyReader {
  private final ByteBuffer body;

  /** Reads from the start of {@code body}. */
  public BodyReader(byte[] body) {
    this.body = ByteBuffer.wrap(body);
  }

  /** Reads the body of {@code frame}. */
  public BodyReader(Frame frame) {
    this(frame.body());
  }

  /** Reads a string up to its closing zero byte. */
  public String readString() throws FrameException {
    int start = body.position();
    while (body.hasRemaining()) {
      if (body.get() == 0) {
        int length = body.position() - start - 1;
        return new String(body.array(), start, length, StandardCharsets.UTF_8);
      }
    }
    throw new FrameException("string at byte " + start + " has no closing zero");
  }

  /** Reads one byte. */
  public byte readByte() throws FrameException {
    need(Byte.BYTES);
    return body.get();
  }

  /** Reads a 16-bit integer. */
  public short readShort() throws FrameException {
    need(Short.BYTES);
    return body.getShort();
  }

  /** Reads a 32-bit integer. */
  public int readInt() throws FrameException {
    need(Integer.BYTES);
    return body.getInt();
  }

  /** Reads {@code count} bytes. */
  public byte[] readBytes(int count) throws FrameException {
    if (count < 0) {
      throw new FrameException("negative count " + count + " at byte " + body.position());
    }
    need(count);
    byte[] bytes = new byte[count];
    body.get(bytes);
    return bytes;
  }

  /** Returns how many bytes are left. */
  public int remaining() {
    return body.remaining();
  }

  private void need(int count) throws FrameException {
    if (body.remaining() < count) {
      throw new FrameException(
          "body ends at byte "
              + body.limit()
              + " where "
              + count
              + " more bytes were expected at byte "
              + body.position());
    }
  }
}

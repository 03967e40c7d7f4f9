package org.mimosacleat.wire.postgres;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Reads the fields of a frame body in order. Every method throws if the body is too short. */
public final class BodyReader {
  private final ByteBuffer body;

  /** Creates a reader at the start of {@code body}. */
  public BodyReader(byte[] body) {
    this.body = ByteBuffer.wrap(body);
  }

  /** Creates a reader of the body of {@code frame}. */
  public BodyReader(Frame frame) {
    this(frame.body());
  }

  /** Reads a string up to its terminating zero byte. */
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
    requireRemaining(Byte.BYTES);
    return body.get();
  }

  /** Reads a 16-bit integer. */
  public short readShort() throws FrameException {
    requireRemaining(Short.BYTES);
    return body.getShort();
  }

  /** Reads a 32-bit integer. */
  public int readInt() throws FrameException {
    requireRemaining(Integer.BYTES);
    return body.getInt();
  }

  /** Reads {@code count} bytes. */
  public byte[] readBytes(int count) throws FrameException {
    if (count < 0) {
      throw new FrameException("negative count " + count + " at byte " + body.position());
    }
    requireRemaining(count);
    byte[] bytes = new byte[count];
    body.get(bytes);
    return bytes;
  }

  /** Returns the number of unread bytes. */
  public int remaining() {
    return body.remaining();
  }

  private void requireRemaining(int count) throws FrameException {
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

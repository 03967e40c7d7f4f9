package org.mimosacleat.wire.postgres;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Builds the body of a frame field by field. */
public final class BodyBuilder {
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();

  /** Appends a string and its terminating zero byte. */
  public BodyBuilder string(String value) {
    body.writeBytes(value.getBytes(StandardCharsets.UTF_8));
    body.write(0);
    return this;
  }

  /** Appends one byte. */
  public BodyBuilder int8(int value) {
    body.write(value);
    return this;
  }

  /** Appends a 16-bit integer. */
  public BodyBuilder int16(int value) {
    body.writeBytes(ByteBuffer.allocate(Short.BYTES).putShort((short) value).array());
    return this;
  }

  /** Appends a 32-bit integer. */
  public BodyBuilder int32(int value) {
    body.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(value).array());
    return this;
  }

  /** Appends raw bytes. */
  public BodyBuilder bytes(byte[] value) {
    body.writeBytes(value);
    return this;
  }

  /** Returns a frame of the given type with the body built so far. */
  public Frame frame(byte type) {
    return new Frame(type, body.toByteArray());
  }

  /** Returns the body built so far, without type and length. */
  public byte[] toByteArray() {
    return body.toByteArray();
  }
}

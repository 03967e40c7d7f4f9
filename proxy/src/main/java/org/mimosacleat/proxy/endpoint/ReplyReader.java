package org.mimosacleat.proxy.endpoint;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.mimosacleat.wire.postgres.BackendType;
import org.mimosacleat.wire.postgres.BodyReader;
import org.mimosacleat.wire.postgres.Frame;
import org.mimosacleat.wire.postgres.FrameException;
import org.mimosacleat.wire.postgres.TransactionStatus;

/**
 * Reads complete replies from an endpoint. Frames are scanned in the receive buffer and copied only
 * once, because every reply passes through this class.
 */
final class ReplyReader {
  private static final int INITIAL_BYTES = 4 * 1024;
  private static final int LENGTH_OFFSET = 1;
  private static final byte SQL_STATE_FIELD = 'C';

  private final InputStream input;
  private final int maximumReplyBytes;
  private byte[] buffer = new byte[INITIAL_BYTES];
  private int limit;

  ReplyReader(InputStream input, int maximumReplyBytes) {
    this.input = input;
    this.maximumReplyBytes = maximumReplyBytes;
  }

  /**
   * Reads up to and including the next ready-for-query.
   *
   * @throws ReplyTooLargeException if the reply exceeds the limit; the connection must then be
   *     closed
   */
  EndpointReply read() throws IOException {
    int start = 0;
    String errorState = "";
    while (true) {
      int end = start + frameSize(start);
      fillTo(end);
      byte type = buffer[start];
      if (type == BackendType.ERROR && errorState.isEmpty()) {
        errorState = sqlState(body(start, end));
      }
      if (type == BackendType.COPY_IN || type == BackendType.COPY_OUT) {
        throw new FrameException("endpoint: COPY is not supported");
      }
      if (type == BackendType.READY_FOR_QUERY) {
        TransactionStatus status = TransactionStatus.of(new Frame(type, body(start, end)));
        return new EndpointReply(removeReply(end), status, errorState);
      }
      start = end;
    }
  }

  /** Returns whether there is unread input; call only when no reply is outstanding. */
  boolean hasUnexpectedInput() throws IOException {
    return limit > 0 || input.available() > 0;
  }

  private int frameSize(int start) throws IOException {
    fillTo(start + Frame.HEADER_BYTES);
    int length = ByteBuffer.wrap(buffer, start + LENGTH_OFFSET, Integer.BYTES).getInt();
    if (length < Integer.BYTES) {
      throw new FrameException("endpoint: invalid frame length " + length);
    }
    if (length > maximumReplyBytes || start + length >= maximumReplyBytes) {
      throw new ReplyTooLargeException(maximumReplyBytes);
    }
    return length + LENGTH_OFFSET;
  }

  private void fillTo(int end) throws IOException {
    while (limit < end) {
      if (buffer.length < end) {
        buffer = Arrays.copyOf(buffer, Math.max(end, buffer.length * 2));
      }
      int read = input.read(buffer, limit, buffer.length - limit);
      if (read < 0) {
        throw new EOFException("endpoint closed the connection");
      }
      limit += read;
    }
  }

  private byte[] body(int start, int end) {
    return Arrays.copyOfRange(buffer, start + Frame.HEADER_BYTES, end);
  }

  private byte[] removeReply(int end) {
    byte[] frames = Arrays.copyOf(buffer, end);
    limit -= end;
    if (limit > 0) {
      System.arraycopy(buffer, end, buffer, 0, limit);
    } else if (buffer.length > INITIAL_BYTES) {
      buffer = new byte[INITIAL_BYTES];
    }
    return frames;
  }

  private static String sqlState(byte[] errorBody) throws FrameException {
    BodyReader reader = new BodyReader(errorBody);
    while (reader.remaining() > 1) {
      byte field = reader.readByte();
      String value = reader.readString();
      if (field == SQL_STATE_FIELD) {
        return value;
      }
    }
    throw new FrameException("endpoint: error response without SQLSTATE");
  }
}

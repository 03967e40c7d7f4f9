package org.mimosacleat.wire.peer;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.locks.ReentrantLock;
import org.mimosacleat.core.check.Checks;

/**
 * Reads and writes messages on one connection. Any thread may write, but only one thread may read.
 * A message over the size limit is rejected before its body is read.
 */
public final class PeerChannel {
  private static final int READ_BUFFER_BYTES = 16 * 1024;

  /** The size limit of messages from a peer that is not yet authenticated. */
  private static final int MAX_HANDSHAKE_MESSAGE_BYTES = 1024;

  private final DataInputStream input;
  private final OutputStream output;
  private final int maxMessageBytes;
  private volatile int maxReadBytes = MAX_HANDSHAKE_MESSAGE_BYTES;
  private final ReentrantLock writeLock = new ReentrantLock();

  /** Creates a channel on the two streams of a connection, which should be unbuffered. */
  public PeerChannel(InputStream input, OutputStream output, int maxMessageBytes) {
    this.input = new DataInputStream(new BufferedInputStream(input, READ_BUFFER_BYTES));
    this.output = output;
    this.maxMessageBytes = (int) Checks.positive("maximum peer message size", maxMessageBytes);
  }

  /**
   * Writes one message; the length and the body go out in a single write.
   *
   * @throws MessageTooLargeException if the message exceeds the size limit
   */
  public void write(PeerMessage message) throws IOException {
    byte[] body = PeerCodec.encode(message);
    if (body.length > maxMessageBytes) {
      throw new MessageTooLargeException(body.length, maxMessageBytes);
    }
    ByteBuffer framed = ByteBuffer.allocate(Integer.BYTES + body.length);
    framed.putInt(body.length).put(body);
    writeLock.lock();
    try {
      output.write(framed.array());
      output.flush();
    } finally {
      writeLock.unlock();
    }
  }

  /** Accepts messages of up to the full size; called once the peer is known to be a proxy. */
  public void raiseReadLimit() {
    maxReadBytes = maxMessageBytes;
  }

  /** Reads the next message; blocks until it arrives. */
  public PeerMessage read() throws IOException {
    int length = input.readInt();
    if (length < 1 || length > maxReadBytes) {
      throw new PeerProtocolException(
          "peer message: length " + length + " is not between 1 and " + maxReadBytes);
    }
    byte[] body = new byte[length];
    input.readFully(body);
    return PeerCodec.decode(body);
  }
}

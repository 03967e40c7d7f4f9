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
 * Carries messages over one connection: any thread may write, one thread reads. A message over the
 * size limit is refused before its body is read.
 */
public final class PeerChannel {
  private static final int BUFFER_BYTES = 16 * 1024;

  /** The largest message that is read of a peer that has not proved itself, in bytes. */
  private static final int HANDSHAKE_BYTES = 1024;

  private final DataInputStream input;
  private final OutputStream output;
  private final int maximumMessageBytes;
  private volatile int readLimit = HANDSHAKE_BYTES;
  private final ReentrantLock writing = new ReentrantLock();

  /** Takes the two streams of a connection; neither should buffer. */
  public PeerChannel(InputStream input, OutputStream output, int maximumMessageBytes) {
    this.input = new DataInputStream(new BufferedInputStream(input, BUFFER_BYTES));
    this.output = output;
    this.maximumMessageBytes =
        (int) Checks.positive("maximum peer message size", maximumMessageBytes);
  }

  /** Writes one message, length and body in one write. */
  public void write(PeerMessage message) throws IOException {
    byte[] body = PeerCodec.encode(message);
    if (body.length > maximumMessageBytes) {
      throw new PeerProtocolException(
          "peer message: " + body.length + " bytes are over the limit of " + maximumMessageBytes);
    }
    ByteBuffer framed = ByteBuffer.allocate(Integer.BYTES + body.length);
    framed.putInt(body.length).put(body);
    writing.lock();
    try {
      output.write(framed.array());
      output.flush();
    } finally {
      writing.unlock();
    }
  }

  /** Accepts messages of full size from now on, since the peer has proved itself. */
  void trustPeer() {
    readLimit = maximumMessageBytes;
  }

  /** Reads the next message and waits for it. */
  public PeerMessage read() throws IOException {
    int length = input.readInt();
    if (length < 1 || length > readLimit) {
      throw new PeerProtocolException(
          "peer message: length " + length + " is not within 1 to " + readLimit);
    }
    byte[] body = new byte[length];
    input.readFully(body);
    return PeerCodec.decode(body);
  }
}

package org.mimosacleat.proxy.endpoint;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.StartupPacket;

/**
 * One connection to an endpoint. It carries one batch at a time: {@link #send} or {@link
 * #exchange}, then the answer. After any exception it must be closed; a connection with an answer
 * outstanding is never used again.
 */
public final class EndpointConnection implements AutoCloseable {
  private static final String APPLICATION_NAME = "mimosacleat";

  private final EndpointAddress address;
  private final Socket socket;
  private final ReplyReader reader;
  private final FrameWriter writer;
  private final CancelKey cancelKey;
  private final int maximumReplyBytes;
  private List<String> sessionSettings = List.of();
  private int outstanding;

  private EndpointConnection(
      EndpointAddress address, Socket socket, CancelKey cancelKey, int maximumReplyBytes)
      throws IOException {
    this.address = address;
    this.socket = socket;
    this.reader = new ReplyReader(socket.getInputStream(), maximumReplyBytes);
    this.writer = new FrameWriter(socket.getOutputStream());
    this.cancelKey = cancelKey;
    this.maximumReplyBytes = maximumReplyBytes;
  }

  /**
   * Connects and authenticates.
   *
   * @throws IOException if the endpoint refuses or does not answer in time
   */
  public static EndpointConnection open(
      EndpointAddress address, int maximumReplyBytes, Duration timeout) throws IOException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.connect(address.address(), milliseconds(timeout));
      socket.setSoTimeout(milliseconds(timeout));
      socket
          .getOutputStream()
          .write(
              StartupPacket.encode(
                  Map.of(
                      "user", address.user(),
                      "database", address.database(),
                      "application_name", APPLICATION_NAME)));
      CancelKey cancelKey = EndpointLogin.run(socket, address);
      socket.setSoTimeout(0);
      return new EndpointConnection(address, socket, cancelKey, maximumReplyBytes);
    } catch (IOException | RuntimeException failed) {
      socket.close();
      throw failed;
    }
  }

  /** Returns the endpoint at the other end. */
  public EndpointId endpoint() {
    return address.endpoint();
  }

  /** Sends a batch; each is answered by one {@link #receive}. */
  public void send(byte[] frames) throws IOException {
    outstanding++;
    writer.writeEncoded(frames);
  }

  /** Waits for the answer to the oldest batch that has none yet. */
  public EndpointReply receive(Duration timeout) throws IOException {
    socket.setSoTimeout(milliseconds(timeout));
    EndpointReply reply = reader.read();
    outstanding--;
    return reply;
  }

  /** Sends a batch and waits for its answer. */
  public EndpointReply exchange(byte[] frames, Duration timeout) throws IOException {
    send(frames);
    return receive(timeout);
  }

  /** Runs one statement of the proxy's own and returns its rows. */
  public QueryResult query(String text, Duration timeout) throws IOException {
    return QueryResult.of(exchange(FrameWriter.encode(List.of(Frames.query(text))), timeout));
  }

  /** Returns the settings that a session has made on this connection. */
  public List<String> sessionSettings() {
    return sessionSettings;
  }

  /** Remembers the settings that a session has made on this connection. */
  public void setSessionSettings(List<String> settings) {
    this.sessionSettings = List.copyOf(settings);
  }

  /** Tells whether every batch was answered and nothing else arrived. */
  public boolean isQuiet() {
    try {
      return outstanding == 0 && !socket.isClosed() && !reader.hasUnexpectedInput();
    } catch (IOException broken) {
      return false;
    }
  }

  /** Asks the endpoint to cancel what runs on this connection; it may be too late. */
  public void cancel(Duration timeout) {
    try (Socket canceller = new Socket()) {
      canceller.connect(address.address(), milliseconds(timeout));
      canceller
          .getOutputStream()
          .write(StartupPacket.encodeCancel(cancelKey.processId(), cancelKey.secretKey()));
    } catch (IOException unreachable) {
      // A cancel request is a hint: the statement ends by itself or by its deadline.
      return;
    }
  }

  /** Returns the largest answer that this connection relays, in bytes. */
  public int maximumReplyBytes() {
    return maximumReplyBytes;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException alreadyBroken) {
      return;
    }
  }

  private static int milliseconds(Duration timeout) {
    return Math.clamp(timeout.toMillis(), 1, Integer.MAX_VALUE);
  }
}

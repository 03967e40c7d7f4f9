package org.mimosacleat.proxy.endpoint;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.wire.postgres.FrameWriter;
import org.mimosacleat.wire.postgres.Frames;
import org.mimosacleat.wire.postgres.StartupPacket;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/**
 * A connection to an endpoint. It runs one batch at a time: {@link #exchange}, or {@link #send}
 * followed by {@link #receive}. After an exception it must be closed. A connection with a reply
 * outstanding is not reused.
 */
public final class EndpointConnection implements AutoCloseable {
  private static final String APPLICATION_NAME = "mimosacleat";

  private final EndpointAddress address;
  private final FencingToken token;
  private final Socket socket;
  private final ReplyReader reader;
  private final FrameWriter writer;
  private final CancelKey cancelKey;
  private final int maximumReplyBytes;
  private List<String> sessionSettings = List.of();
  private int outstanding;

  private EndpointConnection(
      EndpointAddress address,
      FencingToken token,
      Socket socket,
      CancelKey cancelKey,
      int maximumReplyBytes)
      throws IOException {
    this.address = address;
    this.token = token;
    this.socket = socket;
    this.reader = new ReplyReader(socket.getInputStream(), maximumReplyBytes);
    this.writer = new FrameWriter(socket.getOutputStream());
    this.cancelKey = cancelKey;
    this.maximumReplyBytes = maximumReplyBytes;
  }

  /** Connects and authenticates without a fencing token, for status queries to the endpoint. */
  public static EndpointConnection open(
      EndpointAddress address, int maximumReplyBytes, Duration timeout) throws IOException {
    return open(address, FencingToken.NONE, maximumReplyBytes, timeout);
  }

  /**
   * Connects and authenticates.
   *
   * @param token the fencing token of the home; the endpoint closes the connection when it accepts
   *     a higher one
   * @throws IOException if the endpoint refuses the connection or does not answer within {@code
   *     timeout}
   */
  public static EndpointConnection open(
      EndpointAddress address, FencingToken token, int maximumReplyBytes, Duration timeout)
      throws IOException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.connect(address.address(), milliseconds(timeout));
      socket.setSoTimeout(milliseconds(timeout));
      socket.getOutputStream().write(StartupPacket.encode(startup(address, token)));
      CancelKey cancelKey = EndpointLogin.logIn(socket, address);
      socket.setSoTimeout(0);
      return new EndpointConnection(address, token, socket, cancelKey, maximumReplyBytes);
    } catch (IOException | RuntimeException failed) {
      socket.close();
      throw failed;
    }
  }

  /** Returns the endpoint that this is connected to. */
  public EndpointId endpoint() {
    return address.endpoint();
  }

  /** Returns the fencing token that the connection was opened with. */
  public FencingToken token() {
    return token;
  }

  /** Sends a batch; call {@link #receive} once for each batch sent. */
  public void send(byte[] frames) throws IOException {
    outstanding++;
    writer.writeEncoded(frames);
  }

  /** Waits for the reply to the oldest unanswered batch. */
  public EndpointReply receive(Duration timeout) throws IOException {
    socket.setSoTimeout(milliseconds(timeout));
    EndpointReply reply = reader.read();
    outstanding--;
    return reply;
  }

  /** Sends a batch and waits for the reply. */
  public EndpointReply exchange(byte[] frames, Duration timeout) throws IOException {
    send(frames);
    return receive(timeout);
  }

  /** Runs one statement that the proxy itself issues and returns its rows. */
  public QueryResult query(String text, Duration timeout) throws IOException {
    return QueryResult.of(exchange(FrameWriter.encode(List.of(Frames.query(text))), timeout));
  }

  /** Returns the statements for the session settings that are set on this connection. */
  public List<String> sessionSettings() {
    return sessionSettings;
  }

  /** Records the statements for the session settings that are set on this connection. */
  public void setSessionSettings(List<String> settings) {
    this.sessionSettings = List.copyOf(settings);
  }

  /** Returns whether the connection is open, with no reply outstanding and no unexpected input. */
  public boolean isReusable() {
    try {
      return outstanding == 0 && !socket.isClosed() && !reader.hasUnexpectedInput();
    } catch (IOException broken) {
      return false;
    }
  }

  /** Requests that the endpoint cancel the batch running on this connection; best effort. */
  public void cancel(Duration timeout) {
    try (Socket canceller = new Socket()) {
      canceller.connect(address.address(), milliseconds(timeout));
      canceller
          .getOutputStream()
          .write(StartupPacket.encodeCancel(cancelKey.processId(), cancelKey.secretKey()));
    } catch (IOException unreachable) {
      // Cancelling is best effort: otherwise the statement ends by itself or at its deadline.
      return;
    }
  }

  /** Returns the maximum size of a reply that this connection relays, in bytes. */
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

  private static Map<String, String> startup(EndpointAddress address, FencingToken token) {
    Map<String, String> parameters = new LinkedHashMap<>();
    parameters.put("user", address.user());
    parameters.put("database", address.database());
    parameters.put("application_name", APPLICATION_NAME);
    if (token.isAfter(FencingToken.NONE)) {
      parameters.put(EndpointStatements.HOME_TOKEN_SETTING, token.toString());
    }
    return parameters;
  }

  private static int milliseconds(Duration timeout) {
    return Math.clamp(timeout.toMillis(), 1, Integer.MAX_VALUE);
  }
}

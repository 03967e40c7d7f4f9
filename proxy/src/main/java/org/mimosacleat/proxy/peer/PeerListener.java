package org.mimosacleat.proxy.peer;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.tinylog.Logger;

/** Accepts connections from other proxies. {@link #close} also closes all open connections. */
public final class PeerListener implements AutoCloseable {
  private final ServerSocket server;
  private final PeerAuthenticator authenticator;
  private final Homes homes;
  private final FleetReceiver fleet;
  private final ExecutorService executor;
  private final Duration handshakeTimeout;
  private final int maximumMessageBytes;
  private final Set<PeerSession> sessions = ConcurrentHashMap.newKeySet();

  /** Binds the address without accepting connections; see {@link #start}. */
  public PeerListener(
      InetSocketAddress address,
      PeerAuthenticator authenticator,
      Homes homes,
      FleetReceiver fleet,
      ExecutorService executor,
      Duration handshakeTimeout,
      int maximumMessageBytes)
      throws IOException {
    this.server = new ServerSocket();
    this.server.setReuseAddress(true);
    this.server.bind(address);
    this.authenticator = authenticator;
    this.homes = homes;
    this.fleet = fleet;
    this.executor = executor;
    this.handshakeTimeout = handshakeTimeout;
    this.maximumMessageBytes = maximumMessageBytes;
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Starts accepting connections. */
  public void start() {
    executor.submit(this::acceptAll);
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException alreadyClosed) {
      Logger.debug("closing the peer listener failed: {}", alreadyClosed.getMessage());
    }
    sessions.forEach(PeerSession::close);
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        executor.submit(() -> serve(socket));
      } catch (IOException failed) {
        Logger.debug("accepting a peer connection failed: {}", failed.getMessage());
      }
    }
  }

  private void serve(Socket socket) {
    try (PeerSession session =
        new PeerSession(socket, maximumMessageBytes, homes, fleet, executor)) {
      sessions.add(session);
      try {
        session.run(authenticator, handshakeTimeout);
      } finally {
        sessions.remove(session);
      }
    } catch (IOException ended) {
      String reason = ended instanceof EOFException ? "closed by the peer" : ended.getMessage();
      Logger.info("connection of peer at {} ended: {}", socket.getRemoteSocketAddress(), reason);
    }
  }
}

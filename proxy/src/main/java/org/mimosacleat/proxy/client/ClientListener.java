package org.mimosacleat.proxy.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.proxy.settings.AuthenticationMode;
import org.mimosacleat.proxy.settings.LimitSettings;
import org.tinylog.Logger;

/**
 * Accepts client connections and serves each on its own thread. This is the entry point of the
 * package: call {@link #start} to accept connections, and {@link #stopAccepting}, {@link
 * #drainConnections} and {@link #close}, in this order, to shut down.
 */
public final class ClientListener implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  private final ServerSocket server;
  private final ClientContext context;
  private final ExecutorService executor;
  private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();

  /** Binds the address without accepting connections; see {@link #start}. */
  public ClientListener(
      InetSocketAddress address,
      Dispatcher dispatcher,
      LimitSettings limits,
      AuthenticationMode authentication,
      CustomerDirectory customers,
      BatchMetrics metrics,
      InstantSource clock,
      Set<GroupId> groups,
      ExecutorService executor,
      SecureRandom random)
      throws IOException {
    this.server = new ServerSocket();
    this.server.setReuseAddress(true);
    this.server.bind(address, BACKLOG);
    this.context =
        new ClientContext(
            dispatcher,
            limits,
            authenticator(authentication, customers, random),
            new CancelRegistry(random),
            metrics,
            clock,
            groups);
    this.executor = executor;
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Starts accepting connections. */
  public void start() {
    executor.submit(this::acceptAll);
  }

  /** Stops accepting connections; open connections continue. */
  public void stopAccepting() {
    try {
      server.close();
    } catch (IOException alreadyClosed) {
      Logger.debug("closing the client listener failed: {}", alreadyClosed.getMessage());
    }
  }

  /** Closes connections that are idle, and each other connection once it becomes idle. */
  public void drainConnections() {
    connections.forEach(ClientConnection::stop);
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  @Override
  public void close() {
    stopAccepting();
    connections.forEach(ClientConnection::close);
  }

  private static ClientAuthenticator authenticator(
      AuthenticationMode mode, CustomerDirectory customers, SecureRandom random) {
    return switch (mode) {
      case SCRAM -> new ScramAuthenticator(customers, random);
      case TRUST -> new TrustAuthenticator(customers);
    };
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        executor.submit(() -> serve(socket));
      } catch (IOException failed) {
        Logger.debug("accepting a client connection failed: {}", failed.getMessage());
      }
    }
  }

  private void serve(Socket socket) {
    try (ClientConnection connection = new ClientConnection(socket, context)) {
      connections.add(connection);
      try {
        connection.run();
      } finally {
        connections.remove(connection);
      }
    } catch (IOException ended) {
      Logger.debug(
          "connection of client at {} ended: {}",
          socket.getRemoteSocketAddress(),
          ended.getMessage());
    } catch (RuntimeException defect) {
      Logger.error(
          defect,
          "connection of client at {} closed after an unexpected error",
          socket.getRemoteSocketAddress());
    }
  }
}

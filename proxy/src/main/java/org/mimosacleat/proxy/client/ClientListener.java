package org.mimosacleat.proxy.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.proxy.settings.AuthenticationMode;
import org.mimosacleat.proxy.settings.LimitSettings;
import org.mimosacleat.serving.network.ConnectionListener;
import org.tinylog.Logger;

/**
 * Accepts client connections and serves each on its own thread. This is the entry point of the
 * package: call {@link #start} to accept connections, and {@link #stopAccepting}, {@link
 * #drainConnections} and {@link #close}, in this order, to shut down.
 */
public final class ClientListener implements AutoCloseable {
  private final ConnectionListener listener;
  private final ClientContext context;
  private final CountDownLatch started = new CountDownLatch(1);
  private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();

  /** Binds the address; connections are served from {@link #start} on. */
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
    this.context =
        new ClientContext(
            dispatcher,
            limits,
            authenticator(authentication, customers, random),
            new CancelRegistry(random),
            metrics,
            clock,
            groups);
    this.listener = ConnectionListener.start(address, executor, this::accept, Sleeper.SYSTEM);
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Starts serving connections. */
  public void start() {
    started.countDown();
  }

  /**
   * Stops accepting connections; open connections continue. Each connection that was accepted
   * counts when this returns, whether or not it is served yet.
   */
  public void stopAccepting() {
    listener.close();
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

  private Runnable accept(Socket socket) {
    ClientConnection connection = open(socket);
    connections.add(connection);
    return () -> serve(connection, socket);
  }

  private ClientConnection open(Socket socket) {
    try {
      return new ClientConnection(socket, context);
    } catch (IOException ended) {
      throw new UncheckedIOException(ended);
    }
  }

  private void serve(ClientConnection connection, Socket socket) {
    try (connection) {
      started.await();
      connection.run();
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
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
    } finally {
      connections.remove(connection);
    }
  }
}

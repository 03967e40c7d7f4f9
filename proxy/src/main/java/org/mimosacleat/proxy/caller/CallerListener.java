package org.mimosacleat.proxy.caller;

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
 * Accepts clients and serves each on a thread of its own. It is the door to this package: {@link
 * #start} it, and end it with {@link #stopAccepting}, {@link #stopIdle} and {@link #close}.
 */
public final class CallerListener implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  private final ServerSocket server;
  private final CallerContext context;
  private final ExecutorService executor;
  private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();

  /** Binds the address; {@link #start} begins to accept. */
  public CallerListener(
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
        new CallerContext(
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

  /** Starts to accept. */
  public void start() {
    executor.submit(this::acceptAll);
  }

  /** Refuses new connections from now on; those that stand go on. */
  public void stopAccepting() {
    try {
      server.close();
    } catch (IOException alreadyClosed) {
      Logger.debug("client listener: {}", alreadyClosed.getMessage());
    }
  }

  /** Ends the connections that wait for their clients, and the others as soon as they do. */
  public void stopIdle() {
    connections.forEach(CallerConnection::stop);
  }

  /** Returns how many connections stand. */
  public int connectionCount() {
    return connections.size();
  }

  @Override
  public void close() {
    stopAccepting();
    connections.forEach(CallerConnection::close);
  }

  private static CallerAuthenticator authenticator(
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
        Logger.debug("client listener: {}", failed.getMessage());
      }
    }
  }

  private void serve(Socket socket) {
    try (CallerConnection connection = new CallerConnection(socket, context)) {
      connections.add(connection);
      try {
        connection.run();
      } finally {
        connections.remove(connection);
      }
    } catch (IOException ended) {
      Logger.debug("client at {}: {}", socket.getRemoteSocketAddress(), ended.getMessage());
    } catch (RuntimeException defect) {
      Logger.error(defect, "client at {}", socket.getRemoteSocketAddress());
    }
  }
}

package org.mimosacleat.serving.network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.mimosacleat.core.time.Sleeper;
import org.tinylog.Logger;

/** Accepts connections and serves each in a task of its own. */
public final class ConnectionListener implements AutoCloseable {
  private static final int BACKLOG = 512;

  /**
   * Keeps a lasting failure, such as a lack of file descriptors, from taking all processor time.
   */
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(50);

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

  private final ServerSocket listener;
  private final ExecutorService executor;
  private final Function<Socket, Runnable> handler;
  private final Sleeper sleeper;
  private final CountDownLatch ended = new CountDownLatch(1);

  private ConnectionListener(
      ServerSocket listener,
      ExecutorService executor,
      Function<Socket, Runnable> handler,
      Sleeper sleeper) {
    this.listener = listener;
    this.executor = executor;
    this.handler = handler;
    this.sleeper = sleeper;
  }

  /**
   * Listens on an address.
   *
   * @param handler takes an accepted connection, without blocking, and returns the task that serves
   *     and closes it; all accepted connections are taken when {@link #close} returns
   */
  public static ConnectionListener start(
      InetSocketAddress address,
      ExecutorService executor,
      Function<Socket, Runnable> handler,
      Sleeper sleeper)
      throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(address, BACKLOG);
    ConnectionListener listener = new ConnectionListener(socket, executor, handler, sleeper);
    executor.execute(listener::acceptAll);
    return listener;
  }

  /** Returns the address that it listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /**
   * Stops accepting connections; open connections continue. Waits for the accepting thread: while
   * it waits in the socket, the system goes on to admit connections, which nobody would serve.
   */
  @Override
  public void close() {
    try {
      listener.close();
      if (!ended.await(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
        Logger.warn("listener at {} is not closed after {}", address(), CLOSE_TIMEOUT);
      }
    } catch (IOException failed) {
      Logger.warn("listener at {} could not be closed: {}", address(), failed.getMessage());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void acceptAll() {
    try {
      acceptUntilClosed();
    } finally {
      ended.countDown();
    }
  }

  private void acceptUntilClosed() {
    while (!listener.isClosed()) {
      try {
        serve(listener.accept());
      } catch (IOException failed) {
        if (!listener.isClosed()) {
          Logger.warn("connection could not be accepted: {}", failed.getMessage());
          sleeper.sleep(PAUSE_AFTER_FAILURE);
        }
      }
    }
  }

  private void serve(Socket socket) throws IOException {
    try {
      executor.execute(handler.apply(socket));
    } catch (RuntimeException | Error unexpected) {
      Logger.error(unexpected, "connection not served; accepting the next one");
      socket.close();
      sleeper.sleep(PAUSE_AFTER_FAILURE);
    }
  }
}

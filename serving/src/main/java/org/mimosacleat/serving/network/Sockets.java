package org.mimosacleat.serving.network;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.time.Duration;
import jdk.net.ExtendedSocketOptions;

/** Opens sockets that detect an unreachable peer by TCP keep-alive. */
public final class Sockets {
  /**
   * A write of at most this size finds room in the buffers of a connection on which little waits to
   * be read. A larger one may block until the peer reads, so it needs a task of its own.
   */
  public static final int MAX_DIRECT_WRITE_BYTES = 4 * 1024;

  private static final int KEEP_ALIVE_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private Sockets() {}

  /** Connects, or fails after the timeout. */
  public static Socket connect(InetSocketAddress address, Duration timeout) throws IOException {
    Socket socket = new Socket();
    try {
      socket.connect(address, (int) timeout.toMillis());
      keepAlive(socket);
      return socket;
    } catch (IOException failed) {
      socket.close();
      throw failed;
    }
  }

  /**
   * Enables TCP_NODELAY and keep-alive. An unreachable peer is detected after about three seconds:
   * one second idle, then two probes one second apart.
   */
  public static void keepAlive(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
    socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS);
    socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_SECONDS);
    socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_PROBES);
  }
}

package org.mimosacleat.serving.network;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.time.Sleeper;

@Timeout(20)
class ConnectionListenerTest {
  private final BlockingQueue<Socket> served = new LinkedBlockingQueue<>();

  @Test
  void servesEachConnectionUntilClosed() throws IOException, InterruptedException {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      ConnectionListener listener =
          ConnectionListener.start(
              any, executor, socket -> () -> served.add(socket), Sleeper.SYSTEM);
      InetSocketAddress address = listener.address();
      connect(address);
      connect(address);

      assertNotNull(served.poll(10, TimeUnit.SECONDS));
      assertNotNull(served.poll(10, TimeUnit.SECONDS));

      listener.close();
      assertThrows(IOException.class, () -> connect(address));
    }
  }

  /** Guards against a port that nobody serves after one unexpected exception. */
  @Test
  void servesTheNextConnectionAfterAnUnexpectedException()
      throws IOException, InterruptedException {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      AtomicBoolean failed = new AtomicBoolean();
      ConnectionListener listener =
          ConnectionListener.start(
              any,
              executor,
              socket -> {
                if (failed.compareAndSet(false, true)) {
                  throw new IllegalStateException("scripted");
                }
                return () -> served.add(socket);
              },
              Sleeper.SYSTEM);
      connect(listener.address());
      connect(listener.address());

      assertNotNull(served.poll(10, TimeUnit.SECONDS));

      listener.close();
    }
  }

  private static void connect(InetSocketAddress address) throws IOException {
    new Socket(address.getAddress(), address.getPort()).close();
  }
}

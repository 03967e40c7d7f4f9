package org.mimosacleat.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.proxy.dispatch.Dispatcher;
import org.mimosacleat.proxy.operations.BatchMetrics;
import org.mimosacleat.proxy.settings.AuthenticationMode;
import org.mimosacleat.proxy.settings.LimitSettings;

/** A proxy is stopped while a client connects. */
@Timeout(20)
class StoppedLoginTest {
  private static final Dispatcher NO_DISPATCHER = null;
  private static final Duration LIMIT = Duration.ofSeconds(10);
  private static final LimitSettings LIMITS =
      new LimitSettings(1 << 16, 1 << 16, LIMIT, LIMIT, LIMIT, LIMIT);
  private static final int READ_TIMEOUT_MILLIS = 5_000;
  private static final String SHUTTING_DOWN = "57P01";

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final CountDownLatch authenticating = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);

  @AfterEach
  void end() {
    executor.shutdownNow();
  }

  /** Guards against a login that ends without an error, so that its client reports a fault. */
  @Test
  void loginThatTheStopMeetsIsAnsweredWithAnError() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket client = new Socket(server.getInetAddress(), server.getLocalPort());
        Socket accepted = server.accept();
        ClientConnection connection = new ClientConnection(accepted, context())) {
      client.setSoTimeout(READ_TIMEOUT_MILLIS);
      client.getOutputStream().write(startup());
      executor.submit(
          () -> {
            connection.run();
            accepted.shutdownOutput();
            return null;
          });
      authenticating.await();

      connection.stop();
      released.countDown();

      String received =
          new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(received.contains(SHUTTING_DOWN), received);
    }
  }

  /** Guards against a stop that does not wait for connections whose task has not run yet. */
  @Test
  void acceptedConnectionCountsBeforeItIsServed() throws Exception {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (ClientListener listener =
        new ClientListener(
            any,
            NO_DISPATCHER,
            LIMITS,
            AuthenticationMode.TRUST,
            null,
            new BatchMetrics(new SimpleMeterRegistry()),
            new PausedClock(),
            Set.of(),
            new FirstTaskExecutor(executor),
            new SecureRandom())) {
      listener.start();
      try (Socket client =
          new Socket(listener.address().getAddress(), listener.address().getPort())) {
        Thread.sleep(200);

        listener.stopAccepting();

        assertEquals(1, listener.connectionCount(), client.toString());
      }
    }
  }

  private ClientContext context() {
    ClientAuthenticator slow =
        (_, _, _) -> {
          authenticating.countDown();
          awaitRelease();
          return Either.right(new TeamId("members"));
        };
    return new ClientContext(
        NO_DISPATCHER,
        LIMITS,
        slow,
        new CancelRegistry(new SecureRandom()),
        new BatchMetrics(new SimpleMeterRegistry()),
        new PausedClock(),
        Set.of(new GroupId("members")));
  }

  private void awaitRelease() {
    try {
      released.await();
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns a startup packet of protocol version 3.0. */
  private static byte[] startup() throws IOException {
    byte[] parameters =
        "user\0members\0database\0members\0\0".getBytes(StandardCharsets.ISO_8859_1);
    ByteArrayOutputStream packet = new ByteArrayOutputStream();
    DataOutputStream output = new DataOutputStream(packet);
    output.writeInt(2 * Integer.BYTES + parameters.length);
    output.writeInt(3 << 16);
    output.write(parameters);
    return packet.toByteArray();
  }
}

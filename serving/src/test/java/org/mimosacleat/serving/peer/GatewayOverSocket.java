package org.mimosacleat.serving.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Clock;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.feed.ConfigurationFreshness;
import org.mimosacleat.serving.feed.FeedPublisher;
import org.mimosacleat.serving.promotion.StopResult;
import org.mimosacleat.serving.relay.Gateway;
import org.mimosacleat.serving.relay.GatewayConnection;

/** A gateway in memory that is reached over a socket, as between two proxies. */
final class GatewayOverSocket implements Gateway, AutoCloseable {
  private static final VmId VM = new VmId("gateway");

  final ServingFixture proxy = new ServingFixture();
  final PeerLink link;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final CountDownLatch thawed = new CountDownLatch(1);
  private final ServerSocket listener;
  private volatile Socket accepted;

  private GatewayOverSocket(boolean reads, InstantSource clock) throws IOException {
    listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    executor.execute(() -> serve(reads));
    FleetMember member =
        new FleetMember(
            VM,
            new AvailabilityZone("a"),
            new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()));
    link = PeerLink.connect(new VmId("caller"), member, executor, clock);
  }

  /** Starts a gateway that serves. */
  static GatewayOverSocket serving() throws IOException {
    return servingBy(Clock.systemUTC());
  }

  /** Starts a gateway that serves; the connection to it waits by a given clock. */
  static GatewayOverSocket servingBy(InstantSource clock) throws IOException {
    return new GatewayOverSocket(true, clock);
  }

  /** Starts a gateway that freezes once it is connected: it neither reads nor writes. */
  static GatewayOverSocket frozen() throws IOException {
    return new GatewayOverSocket(false, Clock.systemUTC());
  }

  /** Returns the gateway's side of a connection, for relayed statements only. */
  static PeerSession session(
      PeerTransport transport, ServingFixture proxy, ExecutorService executor) {
    return new PeerSession(
        transport,
        proxy.sessions.openRelayed(),
        _ -> StopResult.ABANDONED,
        new FeedPublisher(
            new ConfigurationFreshness(Clock.systemUTC(), Clock.systemUTC()), executor),
        _ -> {
          throw new IllegalStateException("no coordinator");
        },
        executor,
        null);
  }

  @Override
  public Optional<GatewayConnection> connection() {
    return Optional.of(link);
  }

  @Override
  public void close() throws IOException {
    link.close("end of the test");
    thawed.countDown();
    listener.close();
    accepted.close();
    executor.shutdownNow();
  }

  private void serve(boolean reads) {
    try {
      accepted = listener.accept();
      PeerTransport transport = new PeerTransport(accepted);
      if (reads) {
        session(transport, proxy, executor).run(VM);
      } else {
        transport.receiveHello();
        transport.sendHello(VM);
        thawed.await();
      }
    } catch (IOException ended) {
      // The test has ended, or has closed the link.
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }
}

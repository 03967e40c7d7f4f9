package org.mimosacleat.serving.peer;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.feed.FeedPage;
import org.mimosacleat.serving.feed.FeedRow;
import org.mimosacleat.serving.version.StoreEra;

class PeerSessionTest {
  private static final int PAGE_BYTES = 10 * 1024 * 1024;
  private static final Duration AT_ONCE = Duration.ofSeconds(2);

  /** Guards against a drain that one frozen proxy holds up, until all its requests are cut. */
  @Test
  void shutdownDoesNotWaitForProxyThatDoesNotRead() throws IOException, InterruptedException {
    ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket caller = new Socket(listener.getInetAddress(), listener.getLocalPort());
        Socket accepted = listener.accept()) {
      PeerTransport transport = new PeerTransport(accepted);
      PeerSession session = GatewayOverSocket.session(transport, new ServingFixture(), executor);
      new PeerTransport(caller).sendHello(new VmId("caller"));
      Thread writer = Thread.ofVirtual().start(() -> session.sendPage(page()));
      while (writer.getState() == Thread.State.NEW || writer.getState() == Thread.State.RUNNABLE) {
        Thread.sleep(1);
      }

      assertTimeoutPreemptively(AT_ONCE, session::leave);
    } finally {
      executor.shutdownNow();
    }
  }

  private static FeedPage page() {
    FeedRow row = new FeedRow("a", new byte[PAGE_BYTES], 1, false);
    return new FeedPage("table", new StoreEra(1), 0, 1, List.of(row));
  }
}

package org.mimosacleat.proxy.fleet;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.peer.PeerConnections;
import org.mimosacleat.wire.peer.PeerMessage;
import org.tinylog.Logger;

/** Sends messages of the fleet's protocols to other proxies. Delivery is not guaranteed. */
public final class FleetSender {
  private final PeerConnections connections;
  private final ExecutorService executor;

  /**
   * Creates a sender over {@code connections}. Messages are sent on threads of {@code executor},
   * because connecting may block.
   */
  public FleetSender(PeerConnections connections, ExecutorService executor) {
    this.connections = connections;
    this.executor = executor;
  }

  /** Encodes one message. */
  @FunctionalInterface
  public interface Encoder {
    /** Returns the encoded message. */
    byte[] encode() throws IOException;
  }

  /** Sends a message without blocking the calling thread; the message may be lost. */
  public void send(VmId to, int channel, Encoder encoder) {
    executor.submit(() -> sendBlocking(to, channel, encoder));
  }

  private void sendBlocking(VmId to, int channel, Encoder encoder) {
    try {
      connections.to(to).sendOneWay(new PeerMessage.FleetPayload(channel, encoder.encode()));
    } catch (IOException unreachable) {
      Logger.debug("fleet message to {} lost: {}; not retried", to, unreachable.getMessage());
    }
  }
}

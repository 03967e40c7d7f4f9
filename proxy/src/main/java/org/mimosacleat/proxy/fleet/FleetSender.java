package org.mimosacleat.proxy.fleet;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.peer.PeerLinks;
import org.mimosacleat.wire.peer.PeerMessage;
import org.tinylog.Logger;

/** Sends messages of the fleet's protocols; any may be lost. */
public final class FleetSender {
  private final PeerLinks links;
  private final ExecutorService executor;

  /** Sends over {@code links}, on threads of {@code executor} since connecting may wait. */
  public FleetSender(PeerLinks links, ExecutorService executor) {
    this.links = links;
    this.executor = executor;
  }

  /** Encodes one message. */
  @FunctionalInterface
  public interface Encoder {
    /** Returns the bytes. */
    byte[] encode() throws IOException;
  }

  /** Sends a message without waiting. */
  public void send(VmId to, int channel, Encoder encoder) {
    executor.submit(() -> sendNow(to, channel, encoder));
  }

  private void sendNow(VmId to, int channel, Encoder encoder) {
    try {
      links.to(to).tell(new PeerMessage.Fleet(channel, encoder.encode()));
    } catch (IOException unreachable) {
      Logger.debug("message to {} was lost: {}", to, unreachable.getMessage());
    }
  }
}

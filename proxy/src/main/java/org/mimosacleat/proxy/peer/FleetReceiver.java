package org.mimosacleat.proxy.peer;

import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.peer.PeerMessage;

/** Receives messages of the protocols that coordinate the proxies of the fleet. */
@FunctionalInterface
public interface FleetReceiver {
  /** Handles a message; must not block. */
  void receive(VmId sender, PeerMessage.FleetPayload message);
}

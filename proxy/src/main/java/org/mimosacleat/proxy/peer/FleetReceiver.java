package org.mimosacleat.proxy.peer;

import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.peer.PeerMessage;

/** Takes in messages of the fleet's own protocols. */
@FunctionalInterface
public interface FleetReceiver {
  /** Handles one message; must not wait. */
  void received(VmId sender, PeerMessage.Fleet message);
}

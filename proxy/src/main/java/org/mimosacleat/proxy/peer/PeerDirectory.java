package org.mimosacleat.proxy.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.mimosacleat.core.id.VmId;

/** Knows where other proxies listen. */
@FunctionalInterface
public interface PeerDirectory {
  /** Returns the address for peers of a proxy, or empty if it is not known. */
  Optional<InetSocketAddress> addressOf(VmId peer);
}

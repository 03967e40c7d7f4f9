package org.mimosacleat.proxy.peer;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.mimosacleat.core.id.VmId;

/** Looks up the addresses of other proxies. */
@FunctionalInterface
public interface PeerDirectory {
  /** Returns the address on which a proxy accepts peer connections; empty if it is not known. */
  Optional<InetSocketAddress> addressOf(VmId peer);
}

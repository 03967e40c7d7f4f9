package org.mimosacleat.proxy.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.mimosacleat.core.id.VmId;

/**
 * A proxy to connect to.
 *
 * @param peer its name
 * @param address where it listens for peers
 * @param connectTimeout how long connecting and authenticating may take each
 * @param maximumMessageBytes the largest message in either direction
 */
record PeerTarget(
    VmId peer, InetSocketAddress address, Duration connectTimeout, int maximumMessageBytes) {}

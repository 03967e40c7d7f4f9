package org.mimosacleat.proxy.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.mimosacleat.core.id.VmId;

/**
 * The address and the limits of a connection to another proxy.
 *
 * @param peer the id of the proxy
 * @param address the address on which it accepts peer connections
 * @param connectTimeout the timeout for connecting, and for each read during authentication
 * @param maximumMessageBytes the maximum message size in both directions
 */
record PeerTarget(
    VmId peer, InetSocketAddress address, Duration connectTimeout, int maximumMessageBytes) {}

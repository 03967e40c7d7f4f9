package org.mimosacleat.proxy.settings;

import java.net.InetSocketAddress;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * One VM that runs a proxy.
 *
 * @param id its name
 * @param zone where it runs
 * @param address where it listens for peers
 */
public record PeerSettings(VmId id, AvailabilityZone zone, InetSocketAddress address) {}

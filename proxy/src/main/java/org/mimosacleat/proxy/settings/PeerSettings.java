package org.mimosacleat.proxy.settings;

import java.net.InetSocketAddress;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * The settings of one VM that runs a proxy.
 *
 * @param id the name of the VM
 * @param zone the availability zone that it runs in
 * @param address the address that other proxies connect to
 */
public record PeerSettings(VmId id, AvailabilityZone zone, InetSocketAddress address) {}

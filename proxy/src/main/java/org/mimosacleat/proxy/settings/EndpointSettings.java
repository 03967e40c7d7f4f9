package org.mimosacleat.proxy.settings;

import java.net.InetSocketAddress;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;

/**
 * One endpoint.
 *
 * @param id its name
 * @param zone where it runs
 * @param address where it listens
 */
public record EndpointSettings(EndpointId id, AvailabilityZone zone, InetSocketAddress address) {}

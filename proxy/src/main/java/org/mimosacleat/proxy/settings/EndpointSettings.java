package org.mimosacleat.proxy.settings;

import java.net.InetSocketAddress;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;

/**
 * The settings of one endpoint.
 *
 * @param id the name of the endpoint
 * @param zone the availability zone that it runs in
 * @param address the address that it listens on
 */
public record EndpointSettings(EndpointId id, AvailabilityZone zone, InetSocketAddress address) {}

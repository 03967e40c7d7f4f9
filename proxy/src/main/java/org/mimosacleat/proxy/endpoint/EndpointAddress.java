package org.mimosacleat.proxy.endpoint;

import java.net.InetSocketAddress;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.settings.Secret;

/**
 * Where an endpoint is and who the proxy is there.
 *
 * @param endpoint its name
 * @param address where it listens
 * @param user the user to connect as
 * @param password the password; empty where the endpoint asks for none
 * @param database the database to connect to
 */
public record EndpointAddress(
    EndpointId endpoint,
    InetSocketAddress address,
    String user,
    Secret password,
    String database) {}

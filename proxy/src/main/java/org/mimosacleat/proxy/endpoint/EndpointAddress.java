package org.mimosacleat.proxy.endpoint;

import java.net.InetSocketAddress;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.settings.Secret;

/**
 * The address of an endpoint and the credentials that the proxy connects with.
 *
 * @param endpoint the id of the endpoint
 * @param address the address that it listens on
 * @param user the user to connect as
 * @param password the password; empty if the endpoint requires none
 * @param database the database to connect to
 */
public record EndpointAddress(
    EndpointId endpoint,
    InetSocketAddress address,
    String user,
    Secret password,
    String database) {}

package org.mimosacleat.proxy.settings;

import java.net.InetSocketAddress;

/**
 * Where the proxy listens.
 *
 * @param callers for PostgreSQL clients
 * @param peers for other proxies
 * @param operations for status and metrics over HTTP
 */
public record ListenSettings(
    InetSocketAddress callers, InetSocketAddress peers, InetSocketAddress operations) {}

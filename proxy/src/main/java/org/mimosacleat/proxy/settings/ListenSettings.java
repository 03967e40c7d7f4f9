package org.mimosacleat.proxy.settings;

import java.net.InetSocketAddress;

/**
 * The addresses that the proxy listens on.
 *
 * @param clients for PostgreSQL clients
 * @param peers for other proxies
 * @param operations for status and metrics over HTTP
 */
public record ListenSettings(
    InetSocketAddress clients, InetSocketAddress peers, InetSocketAddress operations) {}

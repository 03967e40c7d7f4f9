package org.mimosacleat.proxy.settings;

import java.time.Duration;

/**
 * Limits on client connections and their requests.
 *
 * @param frameBytes the largest frame or batch of a client, in bytes
 * @param answerBytes the largest answer that the proxy relays, in bytes
 * @param authenticationTimeout how long a client may take to authenticate
 * @param requestTimeout how long a batch may take in total
 * @param idleTransactionTimeout how long a transaction may stay open without a statement
 * @param shutdownTimeout how long a graceful stop waits for work in flight
 */
public record LimitSettings(
    int frameBytes,
    int answerBytes,
    Duration authenticationTimeout,
    Duration requestTimeout,
    Duration idleTransactionTimeout,
    Duration shutdownTimeout) {}

package org.mimosacleat.proxy.settings;

import java.time.Duration;

/**
 * Limits on client connections and their requests.
 *
 * @param maxFrameBytes the largest frame or batch of a client, in bytes
 * @param maxAnswerBytes the largest answer that the proxy relays, in bytes
 * @param authenticationTimeout how long a client may take to authenticate
 * @param requestTimeout how long a batch may take in total
 * @param idleTransactionTimeout how long a transaction may stay open without a statement
 * @param shutdownTimeout how long a graceful stop waits for work in flight
 */
public record LimitSettings(
    int maxFrameBytes,
    int maxAnswerBytes,
    Duration authenticationTimeout,
    Duration requestTimeout,
    Duration idleTransactionTimeout,
    Duration shutdownTimeout) {}

package org.mimosacleat.proxy.settings;

import java.time.Duration;

/**
 * Limits on what one connection may ask for.
 *
 * @param frameBytes the largest frame or batch of a caller
 * @param answerBytes the largest answer that is relayed
 * @param authenticationTimeout how long a caller may take to authenticate
 * @param requestTimeout how long a batch may take in all
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

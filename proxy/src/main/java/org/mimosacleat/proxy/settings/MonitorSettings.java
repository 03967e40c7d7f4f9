package org.mimosacleat.proxy.settings;

import java.time.Duration;

/**
 * How a home polls the endpoints of its groups.
 *
 * @param interval the time between two polls of an endpoint while no write waits for confirmation
 * @param timeout the time after which a poll counts as failed
 * @param confirmationTimeout how long a write waits for a replica to confirm it
 */
public record MonitorSettings(Duration interval, Duration timeout, Duration confirmationTimeout) {}

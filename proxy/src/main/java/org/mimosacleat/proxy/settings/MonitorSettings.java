package org.mimosacleat.proxy.settings;

import java.time.Duration;

/**
 * How a home watches the endpoints of its groups.
 *
 * @param interval between two questions to an endpoint while no write waits
 * @param timeout after which a question counts as failed
 * @param confirmationTimeout how long a write waits for a replica to confirm it
 */
public record MonitorSettings(Duration interval, Duration timeout, Duration confirmationTimeout) {}

package org.mimosacleat.core.schedule;

import org.mimosacleat.core.id.EndpointId;

/**
 * The decision to run a statement now.
 *
 * @param ticket the statement
 * @param endpoint where to run it
 */
public record Start(Ticket ticket, EndpointId endpoint) {}

package org.mimosacleat.core.schedule;

import org.mimosacleat.core.id.EndpointId;

/**
 * The decision to run a statement now.
 *
 * @param ticket the ticket of the statement
 * @param endpoint the endpoint to run it on
 */
public record StartDecision(Ticket ticket, EndpointId endpoint) {}

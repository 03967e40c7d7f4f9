package org.mimosacleat.core.schedule;

import org.mimosacleat.core.error.Failure;

/**
 * The decision not to run a waiting statement. The statement is guaranteed not to have run.
 *
 * @param ticket the ticket of the statement
 * @param failure the answer to its client
 */
public record Refusal(Ticket ticket, Failure failure) {}

package org.mimosacleat.core.schedule;

import org.mimosacleat.core.error.Failure;

/**
 * The decision not to run a statement that was waiting; it certainly did not run.
 *
 * @param ticket the statement
 * @param failure the answer to its caller
 */
public record Refusal(Ticket ticket, Failure failure) {}

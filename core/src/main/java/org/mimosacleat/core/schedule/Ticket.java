package org.mimosacleat.core.schedule;

/**
 * Identifies one statement submitted to a scheduler.
 *
 * @param number a number that is unique within one scheduler
 */
public record Ticket(long number) {}

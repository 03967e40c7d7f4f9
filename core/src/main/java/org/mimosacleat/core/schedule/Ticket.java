package org.mimosacleat.core.schedule;

/**
 * Identifies one submitted statement at its scheduler.
 *
 * @param number unique for one scheduler
 */
public record Ticket(long number) {}

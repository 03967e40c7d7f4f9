package org.mimosacleat.core.connection;

/**
 * Identifies one endpoint connection at its home; an id is never reused.
 *
 * @param number a number that is unique within one pool
 */
public record ConnectionId(long number) {}

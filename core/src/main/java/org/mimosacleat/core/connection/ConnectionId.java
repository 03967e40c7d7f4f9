package org.mimosacleat.core.connection;

/**
 * Identifies one endpoint connection at its home; never given out twice.
 *
 * @param number unique for one pool
 */
public record ConnectionId(long number) {}

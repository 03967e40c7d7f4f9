package org.mimosacleat.standin.endpoint;

/**
 * The counters of a stand-in since its creation.
 *
 * @param openConnections the connections that are open now
 * @param statements the statements that have occupied a slot; administrative ones are not counted
 * @param commits the commits that wrote something
 */
public record EndpointStatistics(int openConnections, long statements, long commits) {}

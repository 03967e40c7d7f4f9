package org.mimosacleat.standin.endpoint;

/**
 * What a stand-in has done since it was made.
 *
 * @param openConnections connections that are open now
 * @param statements statements that were run, administrative ones aside
 * @param commits commits that wrote something
 */
public record EndpointStatistics(int openConnections, long statements, long commits) {}

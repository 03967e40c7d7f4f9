package org.mimosacleat.serving.selection;

/**
 * What another source told of an endpoint's load.
 *
 * @param inFlight the statements of all proxies that ran or were queued there
 * @param ageMillis how long ago that was, in milliseconds
 * @param ownSince how many of the statements that this proxy sent since then are unanswered
 */
public record LoadReport(int inFlight, long ageMillis, int ownSince) {}

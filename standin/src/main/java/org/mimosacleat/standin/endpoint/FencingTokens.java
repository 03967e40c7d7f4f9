package org.mimosacleat.standin.endpoint;

/**
 * The tokens that decide whether a session can still commit.
 *
 * @param generation the generation of the instance in which the session was opened
 * @param homeToken the home fencing token of the session, or {@link HomeFence#NO_TOKEN}
 */
record FencingTokens(long generation, long homeToken) {}

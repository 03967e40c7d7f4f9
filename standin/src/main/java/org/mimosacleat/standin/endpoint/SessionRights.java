package org.mimosacleat.standin.endpoint;

/**
 * What the right of a session to commit depends on.
 *
 * @param generation the start of the instance that it belongs to
 * @param homeToken the fencing token that it was opened under, or {@link HomeFence#NO_TOKEN}
 */
record SessionRights(long generation, long homeToken) {}

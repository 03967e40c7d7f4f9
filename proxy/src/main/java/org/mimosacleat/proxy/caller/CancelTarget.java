package org.mimosacleat.proxy.caller;

/**
 * The key that a client shows to cancel what runs on its connection.
 *
 * @param processId the first half
 * @param secretKey the second half
 */
record CancelTarget(int processId, int secretKey) {}

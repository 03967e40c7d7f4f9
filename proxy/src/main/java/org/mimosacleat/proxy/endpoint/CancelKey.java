package org.mimosacleat.proxy.endpoint;

/**
 * What an endpoint wants to see in a cancel request.
 *
 * @param processId the first half
 * @param secretKey the second half
 */
record CancelKey(int processId, int secretKey) {}

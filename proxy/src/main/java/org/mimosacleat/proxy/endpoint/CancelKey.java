package org.mimosacleat.proxy.endpoint;

/**
 * The key that identifies a connection in a cancel request to its endpoint.
 *
 * @param processId the process id of BackendKeyData
 * @param secretKey the secret key of BackendKeyData
 */
record CancelKey(int processId, int secretKey) {}

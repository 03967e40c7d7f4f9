package org.mimosacleat.proxy.client;

/**
 * The key that a client sends in a cancel request to identify its connection.
 *
 * @param processId the process id of BackendKeyData
 * @param secretKey the secret key of BackendKeyData
 */
record CancelKey(int processId, int secretKey) {}

package org.mimosacleat.standin.endpoint;

/** The key that a client sends to cancel the running statement of another connection. */
record BackendKey(int processId, int secretKey) {}

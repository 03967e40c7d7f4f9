package org.mimosacleat.standin.endpoint;

/** The key by which a client cancels a statement of another connection. */
record BackendKey(int processId, int secretKey) {}

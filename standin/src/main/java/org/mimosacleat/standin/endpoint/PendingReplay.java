package org.mimosacleat.standin.endpoint;

import java.time.Instant;

/** A received record that is to be replayed at {@code dueAt}. */
record PendingReplay(LogRecord record, Instant dueAt) {}

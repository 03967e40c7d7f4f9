package org.mimosacleat.standin.endpoint;

import java.time.Instant;

/** A received record that is to be replayed at {@code due}. */
record PendingReplay(LogRecord record, Instant due) {}

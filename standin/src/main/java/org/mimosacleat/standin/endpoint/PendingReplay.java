package org.mimosacleat.standin.endpoint;

import java.time.Instant;

/** A record that was received and is replayed at {@code due}. */
record PendingReplay(LogRecord record, Instant due) {}

package org.mimosacleat.standin.endpoint;

import java.time.Instant;
import org.mimosacleat.core.position.Position;

/**
 * One record of the write-ahead log. It holds the complete state after it, which shares its
 * unchanged parts with the state before it.
 *
 * @param position the term of the record and the log position of its end
 * @param committedAt the time of the commit, by the clock of the group
 * @param state the state after the record
 */
record LogRecord(Position position, Instant committedAt, DatabaseState state) {}

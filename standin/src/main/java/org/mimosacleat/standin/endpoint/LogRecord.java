package org.mimosacleat.standin.endpoint;

import java.time.Instant;
import org.mimosacleat.core.position.Position;

/**
 * One record of the write-ahead log. It carries the whole state after it, which shares what it did
 * not change with the state before.
 *
 * @param position where the record ends
 * @param committedAt when it was written, by the clock of the group
 * @param state the state after it
 */
record LogRecord(Position position, Instant committedAt, DatabaseState state) {}

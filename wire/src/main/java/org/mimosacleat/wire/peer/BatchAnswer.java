package org.mimosacleat.wire.peer;

import org.mimosacleat.core.position.Position;
import org.mimosacleat.wire.postgres.TransactionStatus;

/**
 * The complete response to a batch.
 *
 * @param frames PostgreSQL frames; the last one is ready-for-query
 * @param status the transaction status after the batch
 * @param transaction the open transaction after the batch, or {@link BatchRequest#NO_TRANSACTION}
 * @param position the log position of the session's latest write, as far as the home knows
 * @param hasError whether the frames contain an error
 */
@SuppressWarnings("ArrayRecordComponent")
public record BatchAnswer(
    byte[] frames,
    TransactionStatus status,
    long transaction,
    Position position,
    boolean hasError) {}

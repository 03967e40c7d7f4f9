package org.mimosacleat.wire.peer;

import org.mimosacleat.core.position.Position;
import org.mimosacleat.wire.postgres.TransactionStatus;

/**
 * The whole answer to a batch.
 *
 * @param frames PostgreSQL frames, ended by ready-for-query
 * @param status the transaction status after the batch
 * @param transaction the open transaction after the batch, or {@link WorkRequest#NO_TRANSACTION}
 * @param position where the session's writes are, as far as the home knows
 * @param hasError whether an error is among the frames
 */
@SuppressWarnings("ArrayRecordComponent")
public record WorkAnswer(
    byte[] frames,
    TransactionStatus status,
    long transaction,
    Position position,
    boolean hasError) {}

package org.mimosacleat.proxy.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.PeerMessage;

/** A batch that was sent to another proxy and whose answer is pending. */
public final class SentBatch {
  private final PeerConnection connection;
  private final long correlationId;
  private final CompletableFuture<Either<Failure, BatchAnswer>> answer;

  SentBatch(
      PeerConnection connection,
      long correlationId,
      CompletableFuture<Either<Failure, BatchAnswer>> answer) {
    this.connection = connection;
    this.correlationId = correlationId;
    this.answer = answer;
  }

  /** Waits for the answer. */
  public Either<Failure, BatchAnswer> await(Duration timeout) {
    return connection.await(correlationId, answer, timeout);
  }

  /** Requests that the other proxy cancel the batch. */
  public void cancel() {
    connection.sendOneWay(new PeerMessage.CancelBatch(correlationId));
  }
}

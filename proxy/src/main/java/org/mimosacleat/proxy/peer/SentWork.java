package org.mimosacleat.proxy.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.PeerMessage;

/** A batch that was sent to another proxy and whose answer is pending. */
public final class SentWork {
  private final PeerConnection connection;
  private final long correlation;
  private final CompletableFuture<Either<Failure, BatchAnswer>> answer;

  SentWork(
      PeerConnection connection,
      long correlation,
      CompletableFuture<Either<Failure, BatchAnswer>> answer) {
    this.connection = connection;
    this.correlation = correlation;
    this.answer = answer;
  }

  /** Waits for the answer. */
  public Either<Failure, BatchAnswer> await(Duration timeout) {
    return connection.await(correlation, answer, timeout);
  }

  /** Requests that the other proxy cancel the batch. */
  public void cancel() {
    connection.sendOneWay(new PeerMessage.CancelBatch(correlation));
  }
}

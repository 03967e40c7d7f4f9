package org.mimosacleat.proxy.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.WorkAnswer;

/** A batch that was sent to another proxy and whose answer is pending. */
public final class SentWork {
  private final PeerConnection connection;
  private final long correlation;
  private final CompletableFuture<Either<Failure, WorkAnswer>> answer;

  SentWork(
      PeerConnection connection,
      long correlation,
      CompletableFuture<Either<Failure, WorkAnswer>> answer) {
    this.connection = connection;
    this.correlation = correlation;
    this.answer = answer;
  }

  /** Waits for the answer. */
  public Either<Failure, WorkAnswer> await(Duration timeout) {
    return connection.await(correlation, answer, timeout);
  }

  /** Requests that the other proxy cancel the batch. */
  public void cancel() {
    connection.tell(new PeerMessage.Cancel(correlation));
  }
}

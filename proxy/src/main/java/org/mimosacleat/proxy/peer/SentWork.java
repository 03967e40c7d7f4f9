package org.mimosacleat.proxy.peer;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.WorkAnswer;

/** A batch that was sent to another proxy. */
public final class SentWork {
  private final PeerLink link;
  private final long correlation;
  private final CompletableFuture<Either<Failure, WorkAnswer>> answer;

  SentWork(PeerLink link, long correlation, CompletableFuture<Either<Failure, WorkAnswer>> answer) {
    this.link = link;
    this.correlation = correlation;
    this.answer = answer;
  }

  /** Waits for the answer. */
  public Either<Failure, WorkAnswer> await(Duration timeout) {
    return link.await(correlation, answer, timeout);
  }

  /** Asks the other proxy to cancel the batch. */
  public void cancel() {
    link.tell(new PeerMessage.Cancel(correlation));
  }
}

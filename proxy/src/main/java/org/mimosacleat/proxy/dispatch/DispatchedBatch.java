package org.mimosacleat.proxy.dispatch;

import io.vavr.control.Either;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.home.RunningBatch;
import org.mimosacleat.proxy.peer.SentBatch;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.BatchRequest;

/** A batch that is run on a home, on this proxy or on another. */
sealed interface DispatchedBatch {
  /** Waits for the answer. Must be called only once. */
  default Either<Failure, BatchAnswer> answer() {
    return switch (this) {
      case Local local -> local.homes().execute(local.request(), local.batch());
      case Remote remote -> remote.sent().await(remote.request().remainingTime());
    };
  }

  /** Cancels the batch if it is running. */
  default void cancel() {
    switch (this) {
      case Local local -> local.batch().cancel();
      case Remote remote -> remote.sent().cancel();
    }
  }

  /** Work on a home on this proxy. */
  record Local(Homes homes, BatchRequest request, RunningBatch batch) implements DispatchedBatch {}

  /** Work on a home on another proxy. */
  record Remote(SentBatch sent, BatchRequest request) implements DispatchedBatch {}
}

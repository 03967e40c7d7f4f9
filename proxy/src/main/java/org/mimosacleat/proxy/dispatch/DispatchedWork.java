package org.mimosacleat.proxy.dispatch;

import io.vavr.control.Either;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.home.WorkTicket;
import org.mimosacleat.proxy.peer.SentWork;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/** A batch that is run on a home, on this proxy or on another. */
sealed interface DispatchedWork {
  /** Waits for the answer. Must be called only once. */
  default Either<Failure, WorkAnswer> answer() {
    return switch (this) {
      case Local local -> local.homes().execute(local.request(), local.ticket());
      case Remote remote -> remote.sent().await(remote.request().timeLeft());
    };
  }

  /** Cancels the batch if it is running. */
  default void cancel() {
    switch (this) {
      case Local local -> local.ticket().cancel();
      case Remote remote -> remote.sent().cancel();
    }
  }

  /** Work on a home on this proxy. */
  record Local(Homes homes, WorkRequest request, WorkTicket ticket) implements DispatchedWork {}

  /** Work on a home on another proxy. */
  record Remote(SentWork sent, WorkRequest request) implements DispatchedWork {}
}

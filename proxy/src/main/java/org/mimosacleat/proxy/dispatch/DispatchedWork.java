package org.mimosacleat.proxy.dispatch;

import io.vavr.control.Either;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.home.WorkTicket;
import org.mimosacleat.proxy.peer.SentWork;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/** A batch on its way to a home. */
sealed interface DispatchedWork {
  /** Waits for the answer; to be called once. */
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

  /** The home is on this proxy. */
  record Local(Homes homes, WorkRequest request, WorkTicket ticket) implements DispatchedWork {}

  /** The home is on another proxy. */
  record Remote(SentWork sent, WorkRequest request) implements DispatchedWork {}
}

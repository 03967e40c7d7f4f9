package org.mimosacleat.proxy.dispatch;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.home.WorkTicket;
import org.mimosacleat.proxy.peer.PeerLink;
import org.mimosacleat.proxy.peer.SentWork;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/** A batch whose home is known. */
public sealed interface DispatchedWork {
  /** Returns the home. */
  VmId home();

  /** Sends the batch and waits for its answer; to be called once. */
  default Either<Failure, WorkAnswer> run() {
    return switch (this) {
      case Local local -> local.homes().execute(local.request(), local.ticket());
      case Remote remote -> {
        SentWork sent = remote.link().send(remote.request());
        remote.sent().set(sent);
        yield sent.await(remote.request().timeLeft());
      }
    };
  }

  /** Cancels the batch if it is running. */
  default void cancel() {
    switch (this) {
      case Local local -> local.ticket().cancel();
      case Remote remote -> {
        SentWork sent = remote.sent().get();
        if (sent != null) {
          sent.cancel();
        }
      }
    }
  }

  /** The home is on this proxy. */
  record Local(VmId home, Homes homes, WorkRequest request, WorkTicket ticket)
      implements DispatchedWork {}

  /** The home is on another proxy. */
  record Remote(VmId home, PeerLink link, WorkRequest request, AtomicReference<SentWork> sent)
      implements DispatchedWork {}
}

package org.mimosacleat.proxy.dispatch;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.proxy.home.WorkTicket;
import org.mimosacleat.proxy.peer.PeerLinks;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.WorkRequest;

/** Sends each batch to the home of its group and waits for the answer. */
public final class Dispatcher {
  private final VmId self;
  private final HomeLocator locator;
  private final Homes homes;
  private final PeerLinks links;

  /** Takes the way to the homes on this proxy and to those on others. */
  public Dispatcher(VmId self, HomeLocator locator, Homes homes, PeerLinks links) {
    this.self = self;
    this.locator = locator;
    this.homes = homes;
    this.links = links;
  }

  /** Prepares a batch; {@link DispatchedWork#run} sends it. */
  public Either<Failure, DispatchedWork> prepare(
      WorkRequest request, TransactionOwner owner, Optional<VmId> transactionHome) {
    Optional<VmId> home = transactionHome.or(() -> locator.homeOf(request.group()));
    if (home.isEmpty()) {
      return failure(
          ErrorKind.UNKNOWN_GROUP, "database group '" + request.group() + "' has no home");
    }
    if (home.get().equals(self)) {
      return Either.right(new DispatchedWork.Local(self, homes, request, new WorkTicket(owner)));
    }
    try {
      return Either.right(
          new DispatchedWork.Remote(
              home.get(),
              links.to(home.get()),
              request,
              new java.util.concurrent.atomic.AtomicReference<>()));
    } catch (IOException unreachable) {
      return failure(
          ErrorKind.UNAVAILABLE,
          "home " + home.get() + " could not be reached: " + unreachable.getMessage());
    }
  }

  /** Rolls back an open transaction whose caller has left. */
  public void abandon(VmId home, long transaction, TransactionOwner owner) {
    if (home.equals(self)) {
      homes.abandon(transaction, owner);
      return;
    }
    try {
      links.to(home).tell(new PeerMessage.Abandon(transaction));
    } catch (IOException unreachable) {
      // The home rolls back by itself when it loses the link.
      return;
    }
  }

  private static Either<Failure, DispatchedWork> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}

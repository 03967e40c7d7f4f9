package org.mimosacleat.proxy.dispatch;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.wire.peer.WorkAnswer;

/**
 * Accompanies one batch of a client, over as many homes as it takes; it says where the batch was
 * answered, and any thread may cancel it.
 */
public final class CallerTicket {
  private final TransactionOwner owner;
  private final AtomicReference<DispatchedWork> running = new AtomicReference<>();
  private final AtomicReference<VmId> home = new AtomicReference<>();
  private final AtomicBoolean cancelled = new AtomicBoolean();

  /** Takes the owner of the transaction that the batch opens or belongs to. */
  public CallerTicket(TransactionOwner owner) {
    this.owner = owner;
  }

  /** Cancels the batch: it is not sent again, and what runs is cancelled. */
  public void cancel() {
    cancelled.set(true);
    Optional.ofNullable(running.get()).ifPresent(DispatchedWork::cancel);
  }

  /** Returns the home that the batch was sent to last. */
  public VmId home() {
    return home.get();
  }

  TransactionOwner owner() {
    return owner;
  }

  boolean isCancelled() {
    return cancelled.get();
  }

  Either<Failure, WorkAnswer> run(DispatchedWork work, VmId sentTo) {
    home.set(sentTo);
    running.set(work);
    try {
      return work.answer();
    } finally {
      running.set(null);
    }
  }
}

package org.mimosacleat.proxy.dispatch;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.wire.peer.BatchAnswer;

/**
 * The execution of one batch of a client, possibly on several homes in turn. It records the home
 * that the batch was last sent to, and can be cancelled from any thread.
 */
public final class BatchExecution {
  private final TransactionOwner owner;
  private final AtomicReference<DispatchedBatch> running = new AtomicReference<>();
  private final AtomicReference<VmId> home = new AtomicReference<>();
  private final AtomicBoolean cancelled = new AtomicBoolean();

  /**
   * Creates an execution; {@code owner} owns the transaction that the batch opens or belongs to.
   */
  public BatchExecution(TransactionOwner owner) {
    this.owner = owner;
  }

  /** Cancels the batch if it is running, and prevents retries. */
  public void cancel() {
    cancelled.set(true);
    Optional.ofNullable(running.get()).ifPresent(DispatchedBatch::cancel);
  }

  /** Returns the home that the batch was last sent to; null if it was not sent. */
  public VmId home() {
    return home.get();
  }

  TransactionOwner owner() {
    return owner;
  }

  boolean isCancelled() {
    return cancelled.get();
  }

  Either<Failure, BatchAnswer> run(DispatchedBatch batch, VmId sentTo) {
    home.set(sentTo);
    running.set(batch);
    try {
      return batch.answer();
    } finally {
      running.set(null);
    }
  }
}

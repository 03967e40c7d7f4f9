package org.mimosacleat.proxy.home;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.proxy.endpoint.EndpointConnection;

/** A handle to one batch at a home, with which its sender can cancel it. */
public final class RunningBatch {
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

  private final TransactionOwner owner;
  private final AtomicBoolean cancelled = new AtomicBoolean();
  private final AtomicReference<EndpointConnection> runningOn = new AtomicReference<>();

  /** Creates a ticket; {@code owner} owns the transaction that the batch opens or belongs to. */
  public RunningBatch(TransactionOwner owner) {
    this.owner = owner;
  }

  /**
   * Cancels the batch. If it has not been routed to an endpoint yet, it is not sent. If it is
   * running, the endpoint is asked to cancel it, which has no effect if the batch completes first.
   * A batch that waits for a slot or a connection is not cancelled.
   */
  public void cancel() {
    cancelled.set(true);
    EndpointConnection connection = runningOn.get();
    if (connection != null) {
      connection.cancel(CANCEL_TIMEOUT);
    }
  }

  TransactionOwner owner() {
    return owner;
  }

  boolean isCancelled() {
    return cancelled.get();
  }

  void batchStarted(EndpointConnection connection) {
    runningOn.set(connection);
  }

  void batchEnded() {
    runningOn.set(null);
  }
}

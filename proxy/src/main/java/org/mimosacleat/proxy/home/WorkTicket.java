package org.mimosacleat.proxy.home;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.proxy.endpoint.EndpointConnection;

/** Accompanies one batch through a home, so that whoever sent it can cancel it. */
public final class WorkTicket {
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(1);

  private final TransactionOwner owner;
  private final AtomicBoolean cancelled = new AtomicBoolean();
  private final AtomicReference<EndpointConnection> runningOn = new AtomicReference<>();

  /** Takes the owner of the transaction that the batch opens or belongs to. */
  public WorkTicket(TransactionOwner owner) {
    this.owner = owner;
  }

  /** Cancels the batch: before it is sent for certain, while it runs if the endpoint is quick. */
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

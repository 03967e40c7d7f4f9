package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.util.function.IntConsumer;
import org.mimosacleat.core.time.Sleeper;
import org.tinylog.Logger;

/** Renews the lease of this proxy periodically and counts the proxies that hold a lease. */
public final class LeaseRenewer implements Runnable {
  private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(4);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(400);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

  /** Number of renewals after which the proxies are counted again. */
  private static final int RENEWALS_PER_COUNT = 3;

  private final ProxyLease lease;
  private final IntConsumer proxyCountListener;
  private final Sleeper sleeper;
  private boolean failing;

  /** Creates a renewer; {@code proxyCountListener} receives the number of lease holders. */
  public LeaseRenewer(ProxyLease lease, IntConsumer proxyCountListener, Sleeper sleeper) {
    this.lease = lease;
    this.proxyCountListener = proxyCountListener;
    this.sleeper = sleeper;
  }

  @Override
  public void run() {
    int renewals = 0;
    while (!Thread.currentThread().isInterrupted()) {
      // Counts again after the first renewal: proxies that started with this one are listed then.
      boolean afterFirstRenewal = renewals == 1;
      if (afterFirstRenewal || renewals % RENEWALS_PER_COUNT == 0) {
        lease.refreshStoreTime().peek(proxyCountListener::accept);
      }
      boolean renewed = lease.renew().isRight();
      logStatusChange(renewed);
      renewals += renewed ? 1 : 0;
      if (renewed) {
        waitForNextRenewal();
      } else {
        sleeper.sleep(RETRY_INTERVAL);
      }
    }
  }

  /**
   * Waits for the next renewal. Returns early if the lease is lost, as after a suspension of the
   * machine, so that it is renewed immediately.
   */
  private void waitForNextRenewal() {
    Duration waited = Duration.ZERO;
    while (waited.compareTo(RENEWAL_INTERVAL) < 0 && lease.isHeld()) {
      sleeper.sleep(CHECK_INTERVAL);
      waited = waited.plus(CHECK_INTERVAL);
    }
  }

  private void logStatusChange(boolean renewed) {
    if (renewed == failing) {
      Logger.info(
          "lease renewals {}; lease held: {}", renewed ? "work again" : "fail", lease.isHeld());
    }
    failing = !renewed;
  }
}

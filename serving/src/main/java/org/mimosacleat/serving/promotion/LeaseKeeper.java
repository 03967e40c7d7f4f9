package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.util.function.IntConsumer;
import org.mimosacleat.core.time.Sleeper;
import org.tinylog.Logger;

/** Renews this proxy's right to use primaries, and counts the proxies that have theirs. */
public final class LeaseKeeper implements Runnable {
  private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(4);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(400);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

  /** The proxies are counted at every renewal of this number. */
  private static final int RENEWALS_PER_COUNT = 3;

  private final ProxyLease lease;
  private final IntConsumer proxies;
  private final Sleeper sleeper;
  private boolean failing;

  /** Makes a keeper; {@code proxies} is told the number of proxies. */
  public LeaseKeeper(ProxyLease lease, IntConsumer proxies, Sleeper sleeper) {
    this.lease = lease;
    this.proxies = proxies;
    this.sleeper = sleeper;
  }

  @Override
  public void run() {
    int renewals = 0;
    while (!Thread.currentThread().isInterrupted()) {
      boolean othersHaveStarted = renewals == 1;
      if (othersHaveStarted || renewals % RENEWALS_PER_COUNT == 0) {
        lease.learn().peek(proxies::accept);
      }
      boolean renewed = lease.renew().isRight();
      note(renewed);
      renewals += renewed ? 1 : 0;
      if (renewed) {
        waitWhileHeld();
      } else {
        sleeper.sleep(RETRY_INTERVAL);
      }
    }
  }

  /** A machine that was suspended has lost its right, and gets it back at once. */
  private void waitWhileHeld() {
    Duration waited = Duration.ZERO;
    while (waited.compareTo(RENEWAL_INTERVAL) < 0 && lease.isHeld()) {
      sleeper.sleep(CHECK_INTERVAL);
      waited = waited.plus(CHECK_INTERVAL);
    }
  }

  private void note(boolean renewed) {
    if (renewed == failing) {
      Logger.info("lease: renewals {}, held {}", renewed ? "work again" : "fail", lease.isHeld());
    }
    failing = !renewed;
  }
}

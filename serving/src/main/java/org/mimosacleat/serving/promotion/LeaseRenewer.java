package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.peer.FleetMember;
import org.tinylog.Logger;

/** Renews the lease of this proxy periodically and lists the proxies that hold a lease. */
public final class LeaseRenewer implements Runnable {
  private static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(5);

  /** While some access is young, and so ends soon after a renewal. */
  private static final Duration SHORT_RENEWAL_INTERVAL = Duration.ofSeconds(2);

  private static final Duration RETRY_INTERVAL = Duration.ofMillis(400);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(400);
  private static final Duration MIN_LIST_INTERVAL = Duration.ofMillis(1_000);

  private static final Duration MAX_LIST_INTERVAL = Duration.ofSeconds(20);

  private final ProxyLease lease;
  private final PrimaryAccess access;
  private final Consumer<List<FleetMember>> membersListener;
  private final Sleeper sleeper;
  private final AtomicBoolean listRequested = new AtomicBoolean();
  private boolean failing;
  private Duration sinceList = MAX_LIST_INTERVAL;

  /** Creates a renewer; {@code membersListener} receives the other lease holders. */
  public LeaseRenewer(
      ProxyLease lease,
      PrimaryAccess access,
      Consumer<List<FleetMember>> membersListener,
      Sleeper sleeper) {
    this.lease = lease;
    this.access = access;
    this.membersListener = membersListener;
    this.sleeper = sleeper;
  }

  /** Lists the proxies again soon, because an unknown one has appeared. */
  public void requestList() {
    listRequested.set(true);
  }

  @Override
  public void run() {
    int renewals = 0;
    while (!Thread.currentThread().isInterrupted()) {
      // Lists again after the first renewal: proxies that started with this one are listed then.
      boolean afterFirstRenewal = renewals == 1;
      if (afterFirstRenewal || sinceList.compareTo(MAX_LIST_INTERVAL) >= 0) {
        listProxies();
      }
      boolean renewed = access.renew().isRight();
      logStatusChange(renewed);
      renewals += renewed ? 1 : 0;
      if (renewed) {
        waitForNextRenewal();
      } else {
        sleeper.sleep(RETRY_INTERVAL);
      }
    }
  }

  private void listProxies() {
    listRequested.set(false);
    sinceList = Duration.ZERO;
    lease.refreshStoreTime().peek(membersListener);
  }

  /**
   * Waits for the next renewal. Returns early if the lease is lost, as after a suspension of the
   * machine, or if access to further primaries is requested, so that it is renewed immediately.
   */
  private void waitForNextRenewal() {
    Duration interval = access.isYoung() ? SHORT_RENEWAL_INTERVAL : RENEWAL_INTERVAL;
    Duration waited = Duration.ZERO;
    while (waited.compareTo(interval) < 0 && lease.isHeld() && !isRequested()) {
      waited = waited.plus(CHECK_INTERVAL);
      sinceList = sinceList.plus(CHECK_INTERVAL);
      if (listRequested.get() && waited.compareTo(MIN_LIST_INTERVAL) >= 0) {
        listProxies();
      }
    }
  }

  /** Returns whether access to primaries is requested within the check interval. */
  private boolean isRequested() {
    try {
      return access.pendingRequests().tryAcquire(CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
      return true;
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

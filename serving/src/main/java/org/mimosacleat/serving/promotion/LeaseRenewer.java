package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.peer.FleetMember;
import org.mimosacleat.serving.process.RepeatedStep;
import org.mimosacleat.serving.renewal.BatchedRenewals;
import org.mimosacleat.serving.version.StoreVersion;
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
  private final BatchedRenewals batches;
  private final AtomicBoolean listRequested = new AtomicBoolean();
  private boolean failing;
  private Duration sinceList = MAX_LIST_INTERVAL;
  private int renewals;
  private boolean urgent = true;

  /**
   * Creates a renewer.
   *
   * @param membersListener receives the other lease holders
   * @param batches carries out renewals that are not urgent
   */
  public LeaseRenewer(
      ProxyLease lease,
      PrimaryAccess access,
      Consumer<List<FleetMember>> membersListener,
      Sleeper sleeper,
      BatchedRenewals batches) {
    this.lease = lease;
    this.access = access;
    this.membersListener = membersListener;
    this.sleeper = sleeper;
    this.batches = batches;
  }

  /** Lists the proxies again soon, because an unknown one has appeared. */
  public void requestList() {
    listRequested.set(true);
  }

  @Override
  public void run() {
    new RepeatedStep("the lease renewals", this::next, sleeper).run();
  }

  private void next() {
    // Lists again after the first renewal: proxies that started with this one are listed then.
    boolean afterFirstRenewal = renewals == 1;
    if (afterFirstRenewal || sinceList.compareTo(MAX_LIST_INTERVAL) >= 0) {
      listProxies();
    }
    boolean renewed = renew(urgent).isRight();
    logStatusChange(renewed);
    renewals += renewed ? 1 : 0;
    if (renewed) {
      urgent = !waitForNextRenewal();
    } else {
      urgent = true;
      sleeper.sleep(RETRY_INTERVAL);
    }
  }

  private Either<RecordFailure, StoreVersion> renew(boolean atOnce) {
    return atOnce || !batches.isActive() ? access.renew() : access.renewBatched(batches);
  }

  private void listProxies() {
    listRequested.set(false);
    sinceList = Duration.ZERO;
    lease.refreshStoreTime().peek(membersListener);
  }

  /**
   * Waits for the next renewal. Returns early if the lease is lost, as after a suspension of the
   * machine, or if access to further primaries is requested, so that it is renewed immediately.
   *
   * @return whether the whole interval has passed
   */
  private boolean waitForNextRenewal() {
    Duration interval = renewalInterval();
    Duration waited = Duration.ZERO;
    while (waited.compareTo(interval) < 0) {
      Duration left = interval.minus(waited);
      Duration step = left.compareTo(CHECK_INTERVAL) < 0 ? left : CHECK_INTERVAL;
      if (!lease.isHeld() || isRequestedWithin(step)) {
        return false;
      }
      waited = waited.plus(step);
      sinceList = sinceList.plus(step);
      if (listRequested.get() && waited.compareTo(MIN_LIST_INTERVAL) >= 0) {
        listProxies();
      }
    }
    return lease.isHeld();
  }

  /** Batched renewals are due at the same time at all proxies, so that one batch collects many. */
  private Duration renewalInterval() {
    if (access.isYoung()) {
      return SHORT_RENEWAL_INTERVAL;
    }
    return batches.isActive() ? lease.untilMultipleOf(RENEWAL_INTERVAL) : RENEWAL_INTERVAL;
  }

  /** Returns whether access to primaries is requested within a time. */
  private boolean isRequestedWithin(Duration time) {
    try {
      return access.pendingRequests().tryAcquire(time.toMillis(), TimeUnit.MILLISECONDS);
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

package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.serving.version.StoreEra;

/**
 * States that a primary record was the latest one in an era of the store. After a return of the
 * store from an older copy its records may be older than what proxies have agreed on, until one of
 * these proxies confirms the latest one.
 *
 * @param era the era
 * @param leasesMissingAt a time, by the store's clock in milliseconds, at which proxies may have
 *     held leases whose records the store had lost; zero if there was none
 */
public record Confirmation(StoreEra era, long leasesMissingAt) {
  /** Of records that were written to a store without eras. */
  public static final Confirmation NONE = new Confirmation(StoreEra.UNKNOWN, 0);

  /** Checks the components. */
  public Confirmation {
    Checks.notNull("era", era);
    Checks.notNegative("time of the confirmation", leasesMissingAt);
  }

  /** Returns whether a list of proxies that was read at a time has the leases of all proxies. */
  boolean isCompleteAt(long storeMillis) {
    long longestLease = ProxyLease.DURATION.plus(ProxyLease.EXPIRY_MARGIN).toMillis();
    return leasesMissingAt == 0 || storeMillis - leasesMissingAt > longestLease;
  }
}

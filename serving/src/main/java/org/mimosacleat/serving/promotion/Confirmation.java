package org.mimosacleat.serving.promotion;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.serving.version.StoreEra;

/**
 * States that a primary record was the latest one in an era of the store. After a return of the
 * store from an older copy its records may be older than what proxies have agreed on, until one of
 * these proxies confirms the latest one.
 *
 * @param era the era
 * @param returnSeenAt a time, by the store's clock in milliseconds, by which the era had begun;
 *     lease records that were written shortly before may be missing or out of date; zero if there
 *     are none
 */
public record Confirmation(StoreEra era, long returnSeenAt) {
  /** Of records that were written to a store without eras. */
  public static final Confirmation NONE = new Confirmation(StoreEra.UNKNOWN, 0);

  /** Checks the components. */
  public Confirmation {
    Checks.notNull("era", era);
    Checks.notNegative("time of the return", returnSeenAt);
  }

  /**
   * Returns whether a list of proxies that was read at a time names all that hold a lease. Access
   * that the store may have lost ends {@link ProxyLease#SHORT_DURATION} after its last renewal.
   */
  boolean isListCompleteAt(long storeMillis) {
    Duration longest = ProxyLease.SHORT_DURATION.plus(ProxyLease.EXPIRY_MARGIN);
    return returnSeenAt == 0 || storeMillis - returnSeenAt > longest.toMillis();
  }

  /**
   * Returns whether a listed lease has certainly expired. If it may have been valid when the copy
   * was taken, it may have been renewed until the return.
   */
  boolean hasExpired(ProxyRecord proxy, long storeMillis) {
    long copiedAfter = returnSeenAt - GrantedAccess.MAX_COPY_AGE.toMillis();
    boolean mayHaveBeenRenewed =
        proxy.renewedAtMillis() < returnSeenAt && !ProxyLease.hasExpired(proxy, copiedAfter);
    return mayHaveBeenRenewed
        ? ProxyLease.hasExpired(proxy.renewedAt(returnSeenAt), storeMillis)
        : ProxyLease.hasExpired(proxy, storeMillis);
  }
}

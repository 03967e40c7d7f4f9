package org.mimosacleat.serving.promotion;

import java.util.List;

/**
 * All proxies that have a lease record, read at one moment.
 *
 * @param proxies the lease records, expired ones included
 * @param storeMillis the store's time of the answer, in milliseconds
 */
public record ProxyList(List<ProxyRecord> proxies, long storeMillis) {
  /** Creates a list with an immutable copy of the records. */
  public ProxyList {
    proxies = List.copyOf(proxies);
  }
}

package org.mimosacleat.serving.promotion;

import java.util.List;

/**
 * The proxies at one moment.
 *
 * @param proxies all that have a record
 * @param storeMillis the store's clock at the answer
 */
public record ProxyList(List<ProxyRecord> proxies, long storeMillis) {
  /** Copies the list. */
  public ProxyList {
    proxies = List.copyOf(proxies);
  }
}

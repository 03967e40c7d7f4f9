package org.mimosacleat.serving.promotion;

import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;

/**
 * All proxies that have a lease record, read at one moment.
 *
 * @param proxies the lease records, expired ones included
 * @param versions the versions of the records in the store
 * @param storeMillis the store's time of the answer, in milliseconds
 */
public record ProxyList(List<ProxyRecord> proxies, Map<VmId, Long> versions, long storeMillis) {
  /** The version of a record that does not exist. */
  public static final long ABSENT = 0;

  /** Creates a list with immutable copies. */
  public ProxyList {
    proxies = List.copyOf(proxies);
    versions = Map.copyOf(versions);
  }

  /** Returns the version of a proxy's record. */
  long versionOf(VmId proxy) {
    return versions.getOrDefault(proxy, ABSENT);
  }
}

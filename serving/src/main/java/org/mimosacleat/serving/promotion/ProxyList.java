package org.mimosacleat.serving.promotion;

import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * All proxies that have a lease record, read at one moment.
 *
 * @param proxies the lease records, expired ones included
 * @param versions the versions of the records in the store
 * @param era the era of the versions
 * @param storeMillis the store's time of the answer, in milliseconds
 */
public record ProxyList(
    List<ProxyRecord> proxies, Map<VmId, Long> versions, StoreEra era, long storeMillis) {
  /** Creates a list with immutable copies. */
  public ProxyList {
    proxies = List.copyOf(proxies);
    versions = Map.copyOf(versions);
  }

  /** Returns the version of a proxy's record. */
  StoreVersion versionOf(VmId proxy) {
    return new StoreVersion(era, versions.getOrDefault(proxy, StoreVersion.absent(era).number()));
  }
}

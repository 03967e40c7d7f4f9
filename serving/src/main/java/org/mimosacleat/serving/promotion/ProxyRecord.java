package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.id.VmId;

/**
 * The lease record of a proxy.
 *
 * @param proxy the proxy
 * @param renewedAtMillis time of the last renewal in milliseconds, by the store's clock
 */
public record ProxyRecord(VmId proxy, long renewedAtMillis) {}

package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.id.VmId;

/**
 * A proxy that may use primaries.
 *
 * @param proxy the proxy
 * @param renewedAtMillis when it last said so, by the store's clock
 */
public record ProxyRecord(VmId proxy, long renewedAtMillis) {}

/**
 * Batched lease renewals: in each zone the proxy that publishes the store feeds writes the lease
 * records of the proxies that follow it together with its own in one transaction. A renewal that
 * can't be batched is a call of its own.
 */
package org.mimosacleat.serving.renewal;

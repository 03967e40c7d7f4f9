/** Connections to endpoints: one exchange at a time, and a pool an endpoint. */
package org.mimosacleat.proxy.endpoint;

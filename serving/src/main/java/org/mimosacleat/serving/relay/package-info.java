/**
 * Statements that a proxy passes on to a gateway: a proxy that holds connections to the endpoints
 * of a group. Most proxies of a large fleet hold none, because the endpoints do not admit that
 * many.
 */
package org.mimosacleat.serving.relay;

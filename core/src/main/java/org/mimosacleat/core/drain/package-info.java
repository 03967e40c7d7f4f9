/**
 * Draining: moves work away from an endpoint or a proxy that is about to stop, without interrupting
 * requests in flight.
 */
package org.mimosacleat.core.drain;

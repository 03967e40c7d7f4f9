/**
 * Decides how work is moved away from an endpoint or a proxy that is about to stop, without cutting
 * off a request in flight.
 */
package org.mimosacleat.core.drain;

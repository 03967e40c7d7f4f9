/**
 * Connections between the proxies of a fleet, over which statements are relayed. Messages are
 * framed and encoded by {@code org.mimosacleat.wire}.
 */
package org.mimosacleat.serving.peer;

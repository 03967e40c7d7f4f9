/**
 * Connections between proxies: outgoing connections to homes on other proxies, and the listener for
 * their requests.
 */
package org.mimosacleat.proxy.peer;

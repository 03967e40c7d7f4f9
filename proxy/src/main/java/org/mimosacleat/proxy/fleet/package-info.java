/** Coordination with the other proxies: membership, the operators' lists and customers' shares. */
package org.mimosacleat.proxy.fleet;

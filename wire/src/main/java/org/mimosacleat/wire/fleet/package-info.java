/**
 * Messages of the fleet protocols between proxies (homes, membership, allowance shares, lists) and
 * their codecs.
 */
package org.mimosacleat.wire.fleet;

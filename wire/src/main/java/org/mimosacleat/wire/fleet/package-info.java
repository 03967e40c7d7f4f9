/** Messages about homes between proxies, carried in the fleet messages of the peer protocol. */
package org.mimosacleat.wire.fleet;

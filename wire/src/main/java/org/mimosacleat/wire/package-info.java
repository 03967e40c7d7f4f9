/** Codecs for PostgreSQL frames (clients and endpoints) and MessagePack messages (proxies). */
package org.mimosacleat.wire;

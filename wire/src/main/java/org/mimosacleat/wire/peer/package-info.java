/**
 * Frames between proxies: a four-byte length, then one MessagePack array per message, its first
 * element the message's type. One TCP connection joins a pair of proxies; requests carry
 * correlation ids.
 */
package org.mimosacleat.wire.peer;

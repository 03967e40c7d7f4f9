/** Codecs: PostgreSQL frames towards callers and endpoints, MessagePack frames between proxies. */
package org.mimosacleat.wire;

/**
 * The subset of version 3 of the PostgreSQL protocol that a relay needs. Frame bodies are relayed
 * as opaque bytes; only the fields that a decision depends on are parsed.
 */
package org.mimosacleat.wire.postgres;

/**
 * Frames of the PostgreSQL protocol, version 3, as far as a relay needs them. Frames are carried
 * with opaque bodies; only what a decision depends on is read.
 */
package org.mimosacleat.wire.postgres;

/**
 * Password authentication with SCRAM-SHA-256, both sides, as steps from one frame to the next. The
 * caller reads and writes the frames.
 */
package org.mimosacleat.wire.postgres.authentication;

/**
 * SCRAM-SHA-256 password authentication, client and server side. Each step takes a received frame
 * and returns the frame to send; this package does no I/O.
 */
package org.mimosacleat.wire.postgres.authentication;

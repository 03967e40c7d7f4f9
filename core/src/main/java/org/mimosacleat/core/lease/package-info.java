/**
 * Decides who is the home of a database group: a row of the table service names the holder and its
 * fencing token, and the endpoints of the group, a majority at a time, confirm the token. Nothing
 * here does I/O; {@link org.mimosacleat.core.lease.LeaseMachine} turns inputs into actions.
 */
package org.mimosacleat.core.lease;

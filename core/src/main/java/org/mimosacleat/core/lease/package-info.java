/**
 * Decides which VM is the home of a database group. A row of the table service names the holder and
 * its fencing token, and a majority of the group's endpoints has to confirm the token. This package
 * does no I/O; {@link org.mimosacleat.core.lease.LeaseStateMachine} turns inputs into actions.
 */
package org.mimosacleat.core.lease;

/**
 * Spreads the versions of the operators' lists between the VMs, so that an accepted change is in
 * force everywhere soon and no VM ever goes back to an older version. Nothing here does I/O; {@link
 * org.mimosacleat.core.spread.SpreadMachine} turns inputs into actions.
 */
package org.mimosacleat.core.spread;

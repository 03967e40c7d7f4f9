/**
 * Decides which VMs of the fleet are live, by probing and gossip seeded from the platform's lagging
 * list. Nothing here does I/O; {@link org.mimosacleat.core.membership.MembershipMachine} turns
 * inputs into messages to send and views to publish.
 */
package org.mimosacleat.core.membership;

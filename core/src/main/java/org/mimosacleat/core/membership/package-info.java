/**
 * Failure detection and membership of the fleet: decides which VMs are live by probing and gossip,
 * seeded from the platform's VM list, which may be out of date. The package does no I/O; {@link
 * org.mimosacleat.core.membership.MembershipStateMachine} turns inputs into messages to send and
 * views to publish.
 */
package org.mimosacleat.core.membership;

/**
 * Disseminates the operators' lists between the VMs by gossip, so that an accepted change soon
 * takes effect on all VMs and no VM ever returns to an older version. The package does no I/O;
 * {@link org.mimosacleat.core.gossip.ListGossipStateMachine} turns inputs into actions.
 */
package org.mimosacleat.core.gossip;

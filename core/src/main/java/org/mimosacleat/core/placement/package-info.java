/**
 * Chooses the VM that should be the home of each database group by rendezvous hashing over the live
 * members, with at most one candidate per availability zone.
 */
package org.mimosacleat.core.placement;

/**
 * Chooses which VM should be the home proxy of each database group: rendezvous hashing over the
 * live members, with one candidate per availability zone.
 */
package org.mimosacleat.core.placement;

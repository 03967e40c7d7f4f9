package org.mimosacleat.core.placement;

/**
 * The best member of one zone for one group.
 *
 * @param member the member
 * @param score its score, higher is better
 */
record Candidate(RankedMember member, long score) {}

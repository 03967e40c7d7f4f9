package org.mimosacleat.core.placement;

/**
 * The highest-scoring member of one zone for one group.
 *
 * @param member the member
 * @param score its rendezvous score
 */
record Candidate(HashedMember member, long score) {}

package org.mimosacleat.core.placement;

/**
 * A member with its hash, so that the name is hashed once.
 *
 * @param member the member
 * @param hash the hash of its name
 */
record RankedMember(Member member, long hash) {
  RankedMember(Member member) {
    this(member, Rendezvous.hash(member.vm().value()));
  }

  long score(long groupHash) {
    return Rendezvous.score(groupHash, hash, member.weight());
  }
}

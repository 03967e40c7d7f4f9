package org.mimosacleat.core.placement;

/**
 * A member with the hash of its id, which is computed only once.
 *
 * @param member the member
 * @param hash the hash of its id
 */
record HashedMember(Member member, long hash) {
  HashedMember(Member member) {
    this(member, RendezvousHash.hash(member.vm().value()));
  }

  long score(long groupHash) {
    return RendezvousHash.score(groupHash, hash, member.weight());
  }
}

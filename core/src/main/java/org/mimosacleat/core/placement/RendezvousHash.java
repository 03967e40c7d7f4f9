package org.mimosacleat.core.placement;

/** The hash functions of rendezvous hashing, which ranks the members for each group. */
final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private RendezvousHash() {}

  /** Returns a hash of a name that is the same on all VMs and in all runs. */
  static long hash(String name) {
    long hash = FNV_OFFSET;
    for (int index = 0; index < name.length(); index++) {
      hash = (hash ^ name.charAt(index)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Returns the score of a member for a group, to be compared as a signed number. The score of a
   * member with weight w is the highest of w independent hashes, so that it wins w times as often
   * as a member with weight one.
   */
  static long score(long groupHash, long memberHash, int weight) {
    long best = mix(groupHash ^ memberHash);
    for (int draw = 1; draw < weight; draw++) {
      best = Math.max(best, mix(groupHash ^ (memberHash + draw * GOLDEN_GAMMA)));
    }
    return best;
  }

  private static long mix(long value) {
    long mixed = value + GOLDEN_GAMMA;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}

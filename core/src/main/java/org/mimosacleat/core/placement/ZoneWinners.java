package org.mimosacleat.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The highest-scoring member of one zone for each group. Instances are immutable. A change of one
 * member creates a new instance with about one hash per group: a joining member is compared with
 * each winner, and only the groups won by a leaving member are compared with the rest of the zone.
 */
final class ZoneWinners {
  private final Set<HashedMember> members;
  private final Candidate[] winners;

  private ZoneWinners(Set<HashedMember> members, Candidate[] winners) {
    this.members = members;
    this.winners = winners;
  }

  static ZoneWinners empty(int groups) {
    return new ZoneWinners(Set.of(), new Candidate[groups]);
  }

  /** Returns the winner of the group at {@code index}, or null if the zone has no members. */
  Candidate winner(int index) {
    return winners[index];
  }

  ZoneWinners withMembers(Set<HashedMember> next, long[] groupHashes) {
    if (next.equals(members)) {
      return this;
    }
    List<HashedMember> joined = new ArrayList<>(next);
    joined.removeAll(members);
    Set<HashedMember> left = new HashSet<>(members);
    left.removeAll(next);
    Candidate[] changed = winners.clone();
    for (int index = 0; index < changed.length; index++) {
      changed[index] = updatedWinner(changed[index], groupHashes[index], next, joined, left);
    }
    return new ZoneWinners(next, changed);
  }

  private static Candidate updatedWinner(
      Candidate current,
      long groupHash,
      Set<HashedMember> next,
      List<HashedMember> joined,
      Set<HashedMember> left) {
    if (current == null || left.contains(current.member())) {
      return best(null, groupHash, next);
    }
    return best(current, groupHash, joined);
  }

  private static Candidate best(
      Candidate start, long groupHash, Iterable<HashedMember> challengers) {
    HashedMember best = start == null ? null : start.member();
    long bestScore = start == null ? Long.MIN_VALUE : start.score();
    for (HashedMember challenger : challengers) {
      long score = challenger.score(groupHash);
      if (best == null || beats(challenger, score, best, bestScore)) {
        best = challenger;
        bestScore = score;
      }
    }
    if (best == null || (start != null && best == start.member())) {
      return start;
    }
    return new Candidate(best, bestScore);
  }

  private static boolean beats(
      HashedMember challenger, long score, HashedMember best, long bestScore) {
    if (score != bestScore) {
      return score > bestScore;
    }
    return challenger.member().vm().compareTo(best.member().vm()) < 0;
  }
}

package org.mimosacleat.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The best member of one zone for each group. It is immutable; a change of members gives a new
 * table for about one hash per group: a member that joins is compared with each winner, and only
 * the groups that a leaving member had won look through the rest of the zone.
 */
final class ZoneWinners {
  private final Set<RankedMember> members;
  private final Candidate[] winners;

  private ZoneWinners(Set<RankedMember> members, Candidate[] winners) {
    this.members = members;
    this.winners = winners;
  }

  static ZoneWinners empty(int groups) {
    return new ZoneWinners(Set.of(), new Candidate[groups]);
  }

  /** Returns the best member for the group at {@code index}, or null if the zone has no members. */
  Candidate winner(int index) {
    return winners[index];
  }

  ZoneWinners withMembers(Set<RankedMember> next, long[] groupHashes) {
    if (next.equals(members)) {
      return this;
    }
    List<RankedMember> joined = new ArrayList<>(next);
    joined.removeAll(members);
    Set<RankedMember> left = new HashSet<>(members);
    left.removeAll(next);
    Candidate[] changed = winners.clone();
    for (int index = 0; index < changed.length; index++) {
      changed[index] = changedWinner(changed[index], groupHashes[index], next, joined, left);
    }
    return new ZoneWinners(next, changed);
  }

  private static Candidate changedWinner(
      Candidate current,
      long groupHash,
      Set<RankedMember> next,
      List<RankedMember> joined,
      Set<RankedMember> left) {
    if (current == null || left.contains(current.member())) {
      return best(null, groupHash, next);
    }
    return best(current, groupHash, joined);
  }

  private static Candidate best(
      Candidate start, long groupHash, Iterable<RankedMember> challengers) {
    RankedMember best = start == null ? null : start.member();
    long bestScore = start == null ? Long.MIN_VALUE : start.score();
    for (RankedMember challenger : challengers) {
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
      RankedMember challenger, long score, RankedMember best, long bestScore) {
    if (score != bestScore) {
      return score > bestScore;
    }
    return challenger.member().vm().compareTo(best.member().vm()) < 0;
  }
}

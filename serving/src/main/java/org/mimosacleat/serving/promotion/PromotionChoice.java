package org.mimosacleat.serving.promotion;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.fleet.EndpointEntry;

/**
 * Chooses the endpoint that replaces a primary which nobody uses any longer, from what the others
 * report.
 *
 * <p>With synchronous replicas every acknowledged commit is in the log of so many of the others.
 * The choice is certain if it includes all that any of them has reported and fewer than that number
 * have not reported at all, or if it includes the end of the primary's own log. Without synchronous
 * replicas the most advanced endpoint that answers is chosen.
 */
final class PromotionChoice {
  /** Orders endpoints whose logs suffice: one that drains has to be replaced again soon. */
  private static final Comparator<Candidate> BY_STATE_LOG_POSITION_AND_UPTIME =
      Comparator.comparing((Candidate candidate) -> !candidate.entry().draining())
          .thenComparing(Candidate.BY_LOG_POSITION_AND_UPTIME);

  private final int synchronousReplicas;
  private final Optional<Position> primaryEnd;
  private final Map<EndpointId, EndpointEntry> silent = new HashMap<>();
  private final Set<EndpointId> heard = new HashSet<>();
  private Set<EndpointId> listed = Set.of();
  private Position highest = Position.NONE;

  /**
   * Creates a choice that has heard no endpoint.
   *
   * @param synchronousReplicas how many endpoints other than the primary have each acknowledged
   *     commit
   * @param primaryEnd the end of the primary's log, if the primary was fenced
   */
  PromotionChoice(int synchronousReplicas, Optional<Position> primaryEnd) {
    this.synchronousReplicas = synchronousReplicas;
    this.primaryEnd = primaryEnd;
  }

  /**
   * Records the endpoints other than the primary that are listed now, and those that have answered.
   * One that leaves the list without having answered is still missed: it may have the only copy.
   * After a planned shutdown the next endpoint at its address has its log.
   */
  void observe(List<EndpointEntry> others, List<Candidate> answered) {
    listed = new HashSet<>();
    for (EndpointEntry entry : others) {
      listed.add(entry.id());
      silent.put(entry.id(), entry);
    }
    for (Candidate candidate : answered) {
      heard.add(candidate.entry().id());
    }
    highest = Position.latest(highest, latest(answered));
    silent.keySet().removeAll(heard);
    silent.values().removeIf(entry -> entry.draining() && isSucceeded(entry, others));
  }

  private boolean isSucceeded(EndpointEntry entry, List<EndpointEntry> others) {
    return !listed.contains(entry.id())
        && others.stream().anyMatch(other -> other.address().equals(entry.address()));
  }

  /**
   * Chooses among endpoints that have answered.
   *
   * @param selectable the endpoints that may be promoted, with their latest answers
   * @param mayWait whether an endpoint that lacks a part of the log may still receive it
   * @return the endpoint; empty if it is too early, or if acknowledged commits may be missing
   */
  Optional<Candidate> choose(List<Candidate> selectable, boolean mayWait) {
    Optional<Candidate> complete = primaryEnd.flatMap(end -> bestIncluding(selectable, end));
    if (complete.isPresent() || (primaryEnd.isPresent() && mayWait)) {
      return complete;
    }
    if (synchronousReplicas == 0) {
      return bestIncluding(selectable, latest(selectable));
    }
    return mayLackCommits() ? Optional.empty() : bestIncluding(selectable, highest);
  }

  /** Returns whether so many endpoints are silent that they may have commits which no other has. */
  boolean mayLackCommits() {
    return synchronousReplicas > 0 && silent.size() >= synchronousReplicas;
  }

  /** Returns the endpoints that have not answered. */
  Set<EndpointId> silent() {
    return Set.copyOf(silent.keySet());
  }

  /** Returns whether all endpoints that have not answered have left the list. */
  boolean missesOnlyUnlisted() {
    return silent.keySet().stream().noneMatch(listed::contains);
  }

  private static Position latest(List<Candidate> candidates) {
    return candidates.stream()
        .map(candidate -> candidate.status().received())
        .reduce(Position.NONE, Position::latest);
  }

  private static Optional<Candidate> bestIncluding(List<Candidate> selectable, Position needed) {
    return selectable.stream()
        .filter(candidate -> candidate.status().received().includes(needed))
        .max(BY_STATE_LOG_POSITION_AND_UPTIME);
  }
}

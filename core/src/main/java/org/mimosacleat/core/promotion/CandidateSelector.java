package org.mimosacleat.core.promotion;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

/**
 * Selects the next primary among the fenced endpoints: the one with the latest log position.
 *
 * <p>Every acknowledged write is stored on a majority of the members, so every fenced majority
 * contains an endpoint that stores it. The previous primary may be excluded if enough replicas are
 * fenced that at least one of them stores every acknowledged write.
 */
final class CandidateSelector {
  private final TermMembership previous;
  private final Set<EndpointId> leaving;

  CandidateSelector(TermMembership previous, Set<EndpointId> leaving) {
    this.previous = previous;
    this.leaving = leaving;
  }

  /** Returns whether the fenced endpoints are a majority of the members. */
  boolean isMajority(Map<EndpointId, Position> fenced) {
    return fenced.size() >= previous.majority();
  }

  /**
   * Returns the next primary, or empty if more endpoints have to be fenced first.
   *
   * @param fenced the fenced endpoints with their received positions
   * @param allowPrevious whether the previous primary may be selected if too few replicas are
   *     fenced to exclude it safely
   */
  Optional<EndpointId> select(Map<EndpointId, Position> fenced, boolean allowPrevious) {
    if (!isMajority(fenced)) {
      return Optional.empty();
    }
    Map<EndpointId, Position> others = new HashMap<>(fenced);
    others.remove(previous.primary());
    int replicas = previous.members().size() - 1;
    if (others.size() > replicas - previous.requiredConfirmations() && !others.isEmpty()) {
      return mostAdvanced(others);
    }
    return allowPrevious ? mostAdvanced(fenced) : Optional.empty();
  }

  private Optional<EndpointId> mostAdvanced(Map<EndpointId, Position> candidates) {
    Comparator<Map.Entry<EndpointId, Position>> byPosition = Map.Entry.comparingByValue();
    return candidates.entrySet().stream()
        .max(
            byPosition
                .thenComparing(entry -> !leaving.contains(entry.getKey()))
                .thenComparing(Map.Entry.comparingByKey()))
        .map(Map.Entry::getKey);
  }
}

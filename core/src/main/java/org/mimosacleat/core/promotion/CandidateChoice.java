package org.mimosacleat.core.promotion;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.acknowledgement.Reign;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

/**
 * Chooses the next primary among the fenced endpoints: the one with the latest position.
 *
 * <p>Every acknowledged write is on a majority, so any fenced majority has it. The earlier primary
 * may be passed over if so many replicas are fenced that one of them must have it as well.
 */
final class CandidateChoice {
  private final Reign earlier;
  private final Set<EndpointId> leaving;

  CandidateChoice(Reign earlier, Set<EndpointId> leaving) {
    this.earlier = earlier;
    this.leaving = leaving;
  }

  /** Tells whether the fenced endpoints are a majority. */
  boolean isMajority(Map<EndpointId, Position> fenced) {
    return fenced.size() >= earlier.majority();
  }

  /**
   * Returns the next primary, or empty if more endpoints have to be fenced.
   *
   * @param acceptEarlier whether the earlier primary may be chosen if it is needed for safety
   */
  Optional<EndpointId> choose(Map<EndpointId, Position> fenced, boolean acceptEarlier) {
    if (!isMajority(fenced)) {
      return Optional.empty();
    }
    Map<EndpointId, Position> others = new HashMap<>(fenced);
    others.remove(earlier.primary());
    int replicas = earlier.members().size() - 1;
    if (others.size() > replicas - earlier.confirmationsNeeded() && !others.isEmpty()) {
      return mostAdvanced(others);
    }
    return acceptEarlier ? mostAdvanced(fenced) : Optional.empty();
  }

  private Optional<EndpointId> mostAdvanced(Map<EndpointId, Position> candidates) {
    Comparator<Map.Entry<EndpointId, Position>> order = Map.Entry.comparingByValue();
    return candidates.entrySet().stream()
        .max(
            order
                .thenComparing(entry -> !leaving.contains(entry.getKey()))
                .thenComparing(Map.Entry.comparingByKey()))
        .map(Map.Entry::getKey);
  }
}

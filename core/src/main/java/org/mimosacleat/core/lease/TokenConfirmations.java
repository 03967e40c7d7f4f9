package org.mimosacleat.core.lease;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/** For each endpoint, the send time of the latest request whose token it confirmed. */
final class TokenConfirmations {
  private final Map<EndpointId, Instant> latestSentAt = new HashMap<>();

  void add(EndpointId endpoint, Instant sentAt) {
    latestSentAt.merge(endpoint, sentAt, (first, second) -> first.isAfter(second) ? first : second);
  }

  Set<EndpointId> endpoints() {
    return latestSentAt.keySet();
  }

  /**
   * Returns the latest time such that a majority confirmed a request sent at or after it, or empty
   * if no majority has confirmed.
   */
  Optional<Instant> majoritySentAt(Set<EndpointId> members) {
    List<Instant> newestFirst =
        members.stream()
            .map(latestSentAt::get)
            .filter(java.util.Objects::nonNull)
            .sorted(Comparator.reverseOrder())
            .toList();
    int majority = members.size() / 2 + 1;
    return newestFirst.size() < majority
        ? Optional.empty()
        : Optional.of(newestFirst.get(majority - 1));
  }
}

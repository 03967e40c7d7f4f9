package org.mimosacleat.core.lease;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;

/** When each endpoint last confirmed the token of the holder, by the time it was asked. */
final class Confirmations {
  private final Map<EndpointId, Instant> askedAt = new HashMap<>();

  void add(EndpointId endpoint, Instant sentAt) {
    askedAt.merge(endpoint, sentAt, (old, next) -> old.isAfter(next) ? old : next);
  }

  Set<EndpointId> endpoints() {
    return askedAt.keySet();
  }

  /** Returns the latest moment at or after which a majority was asked, if one ever was. */
  Optional<Instant> majorityAskedAt(Set<EndpointId> electorate) {
    List<Instant> newestFirst =
        electorate.stream()
            .map(askedAt::get)
            .filter(java.util.Objects::nonNull)
            .sorted(Comparator.reverseOrder())
            .toList();
    int majority = electorate.size() / 2 + 1;
    return newestFirst.size() < majority
        ? Optional.empty()
        : Optional.of(newestFirst.get(majority - 1));
  }
}

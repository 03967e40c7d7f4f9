package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.fleet.EndpointEntry;

/**
 * Notices trouble with the primary of a group, and decides whether this proxy acts on it: the
 * gateways of the group do at once, the others only if the trouble lasts.
 */
final class PrimaryTrouble {
  /** How long the other proxies leave the replacement of a primary to the gateways. */
  private static final Duration GATEWAY_ACTION_TIMEOUT = Duration.ofMillis(2_500);

  private final GroupId group;
  private final FailoverDependencies dependencies;
  private Instant since = Instant.MAX;

  PrimaryTrouble(GroupId group, FailoverDependencies dependencies) {
    this.group = group;
    this.dependencies = dependencies;
  }

  /** Returns whether the primary drains, is not listed, or is unreachable or suspected to be. */
  boolean isSeen(PrimaryRecord record, Optional<String> reason) {
    boolean seen = hasTrouble(record, reason);
    if (!seen) {
      since = Instant.MAX;
    }
    return seen;
  }

  private boolean hasTrouble(PrimaryRecord record, Optional<String> reason) {
    Optional<EndpointEntry> primary = record.primary().flatMap(dependencies::findEndpoint);
    return primary.isEmpty()
        || primary.get().draining()
        || reason.isPresent()
        || dependencies.groupStates().of(group).isUnreachable()
        || dependencies
            .pools()
            .find(primary.get().id())
            .map(pool -> pool.health().isSuspect())
            .orElse(false);
  }

  /** Returns whether this proxy is to act: as a gateway of the group, or if no gateway has. */
  boolean isForThisProxy() {
    Instant now = dependencies.clock().instant();
    if (since.equals(Instant.MAX)) {
      since = now;
    }
    return dependencies.isGateway().test(group)
        || Duration.between(since, now).compareTo(GATEWAY_ACTION_TIMEOUT) > 0;
  }
}

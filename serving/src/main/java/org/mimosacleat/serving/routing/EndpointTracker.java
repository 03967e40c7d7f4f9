package org.mimosacleat.serving.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.endpoint.EndpointPools;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.tinylog.Logger;

/**
 * Tracks the endpoints in the store's list. An endpoint that disappears from the list is kept for a
 * while, because after an outage of the store its entry comes back. An entry that is older than the
 * known one, from before a return of the store from an older copy, is ignored.
 */
public final class EndpointTracker {
  /** After an outage of the store, a live endpoint is listed again within about two seconds. */
  private static final Duration REMOVAL_DELAY = Duration.ofMillis(2_500);

  /** Longer than the store lists an endpoint that is gone, after its return from an older copy. */
  private static final Duration DEPARTED_MEMORY = Duration.ofSeconds(60);

  private final EndpointPools pools;
  private final GroupStates groupStates;
  private final GroupListener groups;
  private final ScheduledExecutorService scheduler;
  private final Map<EndpointId, EndpointEntry> endpoints = new ConcurrentHashMap<>();
  private final Map<EndpointId, EndpointEntry> departed = new ConcurrentHashMap<>();
  private final Map<EndpointId, ScheduledFuture<?>> removals = new ConcurrentHashMap<>();

  /** Creates an instance without endpoints. */
  public EndpointTracker(
      EndpointPools pools,
      GroupStates groupStates,
      GroupListener groups,
      ScheduledExecutorService scheduler) {
    this.pools = pools;
    this.groupStates = groupStates;
    this.groups = groups;
    this.scheduler = scheduler;
  }

  /** Applies the complete list, and schedules the removal of all other endpoints. */
  public void replaceAll(List<EndpointEntry> listed) {
    Logger.info("endpoint list read: {}", listed);
    listed.forEach(this::apply);
    Set<EndpointId> ids = listed.stream().map(EndpointEntry::id).collect(Collectors.toSet());
    endpoints.keySet().stream().filter(id -> !ids.contains(id)).forEach(this::scheduleRemoval);
  }

  /** Adds an endpoint or applies its changed entry. */
  public void update(EndpointEntry entry) {
    if (!entry.equals(endpoints.get(entry.id()))) {
      Logger.info("endpoint reported: {}", entry);
    }
    apply(entry);
  }

  private void apply(EndpointEntry entry) {
    ScheduledFuture<?> removal = removals.remove(entry.id());
    if (removal != null) {
      removal.cancel(false);
    }
    if (isOutdated(entry)) {
      Logger.info("older entry of an endpoint ignored: {}", entry);
      return;
    }
    departed.remove(entry.id());
    EndpointEntry before = endpoints.put(entry.id(), entry);
    setInitialPrimary(entry);
    pools.put(entry);
    if (!entry.equals(before)) {
      groups.endpointsChanged(entry.group());
    }
  }

  /** An endpoint that has left is outdated with the last entry, too: it would write a newer one. */
  private boolean isOutdated(EndpointEntry entry) {
    EndpointEntry known = endpoints.get(entry.id());
    EndpointEntry last = departed.get(entry.id());
    return (known != null && entry.isOlderThan(known))
        || (last != null && (entry.isOlderThan(last) || entry.equals(last)));
  }

  /** Schedules the removal of an endpoint that is no longer listed. */
  public void scheduleRemoval(EndpointId endpoint) {
    if (!endpoints.containsKey(endpoint)) {
      return;
    }
    removals.computeIfAbsent(
        endpoint,
        id ->
            scheduler.schedule(() -> remove(id), REMOVAL_DELAY.toMillis(), TimeUnit.MILLISECONDS));
  }

  private void remove(EndpointId endpoint) {
    removals.remove(endpoint);
    EndpointEntry last = endpoints.remove(endpoint);
    Logger.info("endpoint {} is no longer listed; removed", endpoint);
    pools.remove(endpoint);
    if (last != null) {
      departed.put(endpoint, last);
      scheduler.schedule(
          () -> departed.remove(endpoint, last), DEPARTED_MEMORY.toMillis(), TimeUnit.MILLISECONDS);
      groups.endpointsChanged(last.group());
    }
  }

  /** Until a promotion is recorded, the endpoint that reports the primary role is the primary. */
  private void setInitialPrimary(EndpointEntry entry) {
    GroupState state = groupStates.of(entry.group());
    if (entry.role() == EndpointRole.PRIMARY && state.lastPrimary().isEmpty()) {
      state.setPrimary(entry.id(), new Term(0));
    }
  }
}

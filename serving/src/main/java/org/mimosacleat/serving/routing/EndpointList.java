package org.mimosacleat.serving.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.endpoint.EndpointPools;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.tinylog.Logger;

/**
 * Tracks the endpoints in the store's list. An endpoint that disappears from the list is kept for a
 * while, because after an outage of the store its entry comes back.
 */
public final class EndpointList {
  /** After an outage of the store, a live endpoint is listed again within about two seconds. */
  private static final Duration KEPT_AFTER_VANISHING = Duration.ofMillis(2_500);

  private final EndpointPools pools;
  private final GroupViews views;
  private final GroupListener groups;
  private final ScheduledExecutorService scheduler;
  private final Map<EndpointId, EndpointEntry> present = new ConcurrentHashMap<>();
  private final Map<EndpointId, ScheduledFuture<?>> vanishing = new ConcurrentHashMap<>();

  /** Creates an instance without endpoints. */
  public EndpointList(
      EndpointPools pools,
      GroupViews views,
      GroupListener groups,
      ScheduledExecutorService scheduler) {
    this.pools = pools;
    this.views = views;
    this.groups = groups;
    this.scheduler = scheduler;
  }

  /** Adds an endpoint or applies its changed entry. */
  public void report(EndpointEntry entry) {
    ScheduledFuture<?> removal = vanishing.remove(entry.id());
    if (removal != null) {
      removal.cancel(false);
    }
    EndpointEntry before = present.put(entry.id(), entry);
    if (!entry.equals(before)) {
      Logger.info("endpoint {} reported: {}", entry.id(), entry);
    }
    takeAsFirstPrimary(entry);
    pools.put(entry);
    if (!entry.equals(before)) {
      groups.endpointsChanged(entry.group());
    }
  }

  /** Schedules the removal of an endpoint that is no longer listed. */
  public void vanish(EndpointId gone) {
    if (!present.containsKey(gone)) {
      return;
    }
    vanishing.computeIfAbsent(
        gone,
        id ->
            scheduler.schedule(
                () -> remove(id), KEPT_AFTER_VANISHING.toMillis(), TimeUnit.MILLISECONDS));
  }

  /** Schedules the removal of all endpoints except these, which are the ones now listed. */
  public void retain(Set<EndpointId> named) {
    present.keySet().stream().filter(id -> !named.contains(id)).forEach(this::vanish);
  }

  private void remove(EndpointId gone) {
    vanishing.remove(gone);
    EndpointEntry last = present.remove(gone);
    Logger.info("endpoint {} is no longer listed; removed", gone);
    pools.remove(gone);
    if (last != null) {
      groups.endpointsChanged(last.group());
    }
  }

  /** Until a promotion is recorded, the endpoint that reports the primary role is the primary. */
  private void takeAsFirstPrimary(EndpointEntry entry) {
    GroupView view = views.of(entry.group());
    if (entry.role() == EndpointRole.PRIMARY && view.lastPrimary().isEmpty()) {
      view.lead(entry.id(), new Term(0));
    }
  }
}

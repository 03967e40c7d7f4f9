package org.mimosacleat.core.drain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.EndpointId;

/**
 * Keeps new work away from the leaving endpoints of one group. It runs on the group's home. Since
 * all work of a group goes through its home, an endpoint gets no new work as soon as the home has
 * read the list, which it does every second.
 *
 * <p>Call {@link #step} from a single thread; {@link #acceptsNewWork} is safe to call from any
 * thread.
 */
public final class EndpointDrain {
  private final AtomicReference<Set<EndpointId>> leaving = new AtomicReference<>(Set.of());
  private final Map<EndpointId, Integer> inFlight = new HashMap<>();
  private Instant lastAppliedAskedAt = Instant.MIN;

  /** Returns whether an endpoint may be given new work; safe to call from any thread. */
  public boolean acceptsNewWork(EndpointId endpoint) {
    return !leaving.get().contains(endpoint);
  }

  /** Processes one event and returns the actions to perform. */
  public List<EndpointDrainAction> step(EndpointDrainInput input) {
    return switch (input) {
      case EndpointDrainInput.ListRead listRead -> applyListRead(listRead);
      case EndpointDrainInput.Started started -> started(started.endpoint());
      case EndpointDrainInput.Finished finished -> finished(finished.endpoint());
    };
  }

  private List<EndpointDrainAction> applyListRead(EndpointDrainInput.ListRead listRead) {
    if (listRead.askedAt().isBefore(lastAppliedAskedAt)) {
      return List.of();
    }
    lastAppliedAskedAt = listRead.askedAt();
    Set<EndpointId> previous = leaving.getAndSet(Set.copyOf(listRead.leaving()));
    List<EndpointDrainAction> actions = new ArrayList<>();
    for (EndpointId endpoint : new TreeSet<>(listRead.leaving())) {
      if (!previous.contains(endpoint)) {
        actions.add(new EndpointDrainAction.CloseIdle(endpoint));
        reportIfEmpty(endpoint, actions);
      }
    }
    for (EndpointId endpoint : new TreeSet<>(previous)) {
      if (!listRead.leaving().contains(endpoint)) {
        actions.add(new EndpointDrainAction.Resume(endpoint));
      }
    }
    return actions;
  }

  private List<EndpointDrainAction> started(EndpointId endpoint) {
    inFlight.merge(endpoint, 1, Integer::sum);
    return List.of();
  }

  private List<EndpointDrainAction> finished(EndpointId endpoint) {
    if (!inFlight.containsKey(endpoint)) {
      throw new IllegalArgumentException("no work is in flight on endpoint " + endpoint);
    }
    inFlight.computeIfPresent(endpoint, (id, count) -> count == 1 ? null : count - 1);
    List<EndpointDrainAction> actions = new ArrayList<>();
    if (!acceptsNewWork(endpoint)) {
      reportIfEmpty(endpoint, actions);
    }
    return actions;
  }

  private void reportIfEmpty(EndpointId endpoint, List<EndpointDrainAction> actions) {
    if (!inFlight.containsKey(endpoint)) {
      actions.add(new EndpointDrainAction.Drained(endpoint));
    }
  }
}

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
 * Keeps new work away from the leaving endpoints of one group. The home runs one; since all work of
 * a group goes through its home, an endpoint gets no new work from the moment that the home has
 * read the list, and the home reads it every second.
 *
 * <p>Feed {@link #step} from one thread; ask {@link #mayTakeWork} from any thread.
 */
public final class EndpointDrain {
  private final AtomicReference<Set<EndpointId>> leaving = new AtomicReference<>(Set.of());
  private final Map<EndpointId, Integer> inFlight = new HashMap<>();
  private Instant newestAnswer = Instant.MIN;

  /** Tells whether an endpoint may be given new work; safe to call from any thread. */
  public boolean mayTakeWork(EndpointId endpoint) {
    return !leaving.get().contains(endpoint);
  }

  /** Takes one input and returns what has to be done about it. */
  public List<EndpointDrainAction> step(EndpointDrainInput input) {
    return switch (input) {
      case EndpointDrainInput.Listed listed -> listed(listed);
      case EndpointDrainInput.Started started -> started(started.endpoint());
      case EndpointDrainInput.Finished finished -> finished(finished.endpoint());
    };
  }

  private List<EndpointDrainAction> listed(EndpointDrainInput.Listed listed) {
    if (listed.askedAt().isBefore(newestAnswer)) {
      return List.of();
    }
    newestAnswer = listed.askedAt();
    Set<EndpointId> before = leaving.getAndSet(Set.copyOf(listed.leaving()));
    List<EndpointDrainAction> actions = new ArrayList<>();
    for (EndpointId endpoint : new TreeSet<>(listed.leaving())) {
      if (!before.contains(endpoint)) {
        actions.add(new EndpointDrainAction.CloseIdle(endpoint));
        reportIfEmpty(endpoint, actions);
      }
    }
    for (EndpointId endpoint : new TreeSet<>(before)) {
      if (!listed.leaving().contains(endpoint)) {
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
    if (!mayTakeWork(endpoint)) {
      reportIfEmpty(endpoint, actions);
    }
    return actions;
  }

  private void reportIfEmpty(EndpointId endpoint, List<EndpointDrainAction> actions) {
    if (!inFlight.containsKey(endpoint)) {
      actions.add(new EndpointDrainAction.Empty(endpoint));
    }
  }
}

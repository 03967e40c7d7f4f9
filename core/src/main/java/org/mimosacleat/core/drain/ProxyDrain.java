package org.mimosacleat.core.drain;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mimosacleat.core.id.GroupId;

/**
 * Stops a proxy gracefully: it hands over its homes, stops accepting connections, completes the
 * work in flight, and exits. A second signal or the deadline ends it immediately.
 *
 * <p>A home is handed over when its group has no work in flight. To reach that state, new work on
 * the group is held back for a short time. If a transaction lasts longer, the held work is released
 * and the attempt is repeated later. Call {@link #step} from a single thread.
 */
public final class ProxyDrain {
  private final InstantSource clock;
  private final ProxyDrainTimeouts timeouts;
  private final Map<GroupId, Instant> heldSince = new HashMap<>();
  private final Map<GroupId, Instant> nextAttemptAt = new HashMap<>();
  private final Map<GroupId, Instant> handOverRequestedAt = new HashMap<>();
  private Optional<Instant> firstSignalAt = Optional.empty();
  private boolean accepting = true;
  private boolean exited;
  private int lastInFlight;

  /** Creates a drain that starts with the first signal. */
  public ProxyDrain(InstantSource clock, ProxyDrainTimeouts timeouts) {
    this.clock = clock;
    this.timeouts = timeouts;
  }

  /** Returns whether a stop signal has been received. */
  public boolean isStopping() {
    return firstSignalAt.isPresent();
  }

  /** Processes one event and returns the actions to perform. */
  public List<ProxyDrainAction> step(ProxyDrainInput input) {
    if (exited) {
      return List.of();
    }
    return switch (input) {
      case ProxyDrainInput.Signal() -> signal();
      case ProxyDrainInput.Progress progress -> isStopping() ? progress(progress) : List.of();
    };
  }

  private List<ProxyDrainAction> signal() {
    if (isStopping()) {
      exited = true;
      return List.of(new ProxyDrainAction.Exit("second signal", lastInFlight));
    }
    firstSignalAt = Optional.of(clock.instant());
    return List.of(new ProxyDrainAction.AnnounceLeaving());
  }

  private List<ProxyDrainAction> progress(ProxyDrainInput.Progress progress) {
    lastInFlight =
        progress.requests() + progress.homes().values().stream().mapToInt(count -> count).sum();
    List<ProxyDrainAction> actions = new ArrayList<>();
    new TreeMap<>(progress.homes()).forEach((group, work) -> handOverHome(group, work, actions));
    if (progress.homes().isEmpty() && accepting) {
      accepting = false;
      actions.add(new ProxyDrainAction.StopAccepting());
    }
    if (!accepting && progress.requests() == 0) {
      exit("all work is finished", 0, actions);
    } else if (isPastTimeout(timeouts.exitTimeout())) {
      exit("deadline of " + timeouts.exitTimeout().toSeconds() + " s", lastInFlight, actions);
    }
    return actions;
  }

  private void handOverHome(GroupId group, int inFlight, List<ProxyDrainAction> actions) {
    Instant now = clock.instant();
    Instant requestedAt = handOverRequestedAt.get(group);
    if (requestedAt != null && now.isBefore(requestedAt.plus(timeouts.retryDelay()))) {
      return;
    }
    boolean isHeld = heldSince.containsKey(group);
    if ((isHeld && inFlight == 0) || isPastTimeout(timeouts.handOverTimeout())) {
      handOverRequestedAt.put(group, now);
      actions.add(new ProxyDrainAction.HandOver(group, inFlight));
      return;
    }
    if (isHeld && !now.isBefore(heldSince.get(group).plus(timeouts.holdTimeout()))) {
      heldSince.remove(group);
      nextAttemptAt.put(group, now.plus(timeouts.retryDelay()));
      actions.add(new ProxyDrainAction.Release(group));
      return;
    }
    if (!isHeld && !now.isBefore(nextAttemptAt.getOrDefault(group, now))) {
      heldSince.put(group, now);
      actions.add(new ProxyDrainAction.Hold(group));
    }
  }

  private boolean isPastTimeout(Duration timeout) {
    return !clock.instant().isBefore(firstSignalAt.get().plus(timeout));
  }

  private void exit(String reason, int inFlight, List<ProxyDrainAction> actions) {
    exited = true;
    actions.add(new ProxyDrainAction.Exit(reason, inFlight));
  }
}

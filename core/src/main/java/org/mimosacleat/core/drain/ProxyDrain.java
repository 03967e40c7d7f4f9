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
 * Stops a proxy gracefully: it hands over its homes, stops accepting, finishes what is in flight,
 * and leaves; a second signal or the deadline ends it.
 *
 * <p>A home is handed over at a moment without work in flight. To get one, new work on the group is
 * held back for a short time; if a long transaction outlasts that, the held work runs on and the
 * attempt is repeated. Feed {@link #step} from one thread.
 */
public final class ProxyDrain {
  private final InstantSource clock;
  private final ProxyDrainTimes times;
  private final Map<GroupId, Instant> heldSince = new HashMap<>();
  private final Map<GroupId, Instant> nextAttempt = new HashMap<>();
  private final Map<GroupId, Instant> handedOver = new HashMap<>();
  private Optional<Instant> signalledAt = Optional.empty();
  private boolean accepts = true;
  private boolean exited;
  private int lastInFlight;

  /** Makes a drain that waits for the signal. */
  public ProxyDrain(InstantSource clock, ProxyDrainTimes times) {
    this.clock = clock;
    this.times = times;
  }

  /** Tells whether the signal has come. */
  public boolean isStopping() {
    return signalledAt.isPresent();
  }

  /** Takes one input and returns what has to be done about it. */
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
    signalledAt = Optional.of(clock.instant());
    return List.of(new ProxyDrainAction.AnnounceLeaving());
  }

  private List<ProxyDrainAction> progress(ProxyDrainInput.Progress progress) {
    lastInFlight =
        progress.requests() + progress.homes().values().stream().mapToInt(count -> count).sum();
    List<ProxyDrainAction> actions = new ArrayList<>();
    new TreeMap<>(progress.homes()).forEach((group, work) -> moveHome(group, work, actions));
    if (progress.homes().isEmpty() && accepts) {
      accepts = false;
      actions.add(new ProxyDrainAction.StopAccepting());
    }
    if (!accepts && progress.requests() == 0) {
      exit("all work is finished", 0, actions);
    } else if (isPast(times.whole())) {
      exit("deadline of " + times.whole().toSeconds() + " s", lastInFlight, actions);
    }
    return actions;
  }

  private void moveHome(GroupId group, int inFlight, List<ProxyDrainAction> actions) {
    Instant now = clock.instant();
    Instant triedAt = handedOver.get(group);
    if (triedAt != null && now.isBefore(triedAt.plus(times.pause()))) {
      return;
    }
    boolean isHeld = heldSince.containsKey(group);
    if ((isHeld && inFlight == 0) || isPast(times.homes())) {
      handedOver.put(group, now);
      actions.add(new ProxyDrainAction.HandOver(group, inFlight));
      return;
    }
    if (isHeld && !now.isBefore(heldSince.get(group).plus(times.hold()))) {
      heldSince.remove(group);
      nextAttempt.put(group, now.plus(times.pause()));
      actions.add(new ProxyDrainAction.Release(group));
      return;
    }
    if (!isHeld && !now.isBefore(nextAttempt.getOrDefault(group, now))) {
      heldSince.put(group, now);
      actions.add(new ProxyDrainAction.Hold(group));
    }
  }

  private boolean isPast(Duration afterSignal) {
    return !clock.instant().isBefore(signalledAt.get().plus(afterSignal));
  }

  private void exit(String reason, int inFlight, List<ProxyDrainAction> actions) {
    exited = true;
    actions.add(new ProxyDrainAction.Exit(reason, inFlight));
  }
}

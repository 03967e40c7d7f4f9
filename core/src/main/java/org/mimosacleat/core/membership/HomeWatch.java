package org.mimosacleat.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * Watches one home closely, so that its loss is noticed well before the membership of the whole
 * fleet notices it. The first two candidates after the home run one each; a home is lost once
 * watchers in enough zones do not hear it.
 *
 * <p>Feed {@link #step} from one thread. A wrong alarm costs a change of home and is otherwise
 * harmless, since the lease decides.
 */
public final class HomeWatch {
  private final VmId home;
  private final AvailabilityZone zone;
  private final int requiredZones;
  private final InstantSource clock;
  private final HomeWatchTimes times;
  private final Set<AvailabilityZone> silentZones = new TreeSet<>();
  private Instant lastHeard;
  private Instant lastTick;
  private Instant nextQuestion;

  /**
   * Starts as if the home had just been heard.
   *
   * @param home the home to watch
   * @param zone the zone of this VM
   * @param requiredZones zones of which watchers must miss the home: two, or one where the fleet
   *     has no more
   * @param clock never steps backwards
   * @param times the durations
   */
  public HomeWatch(
      VmId home,
      AvailabilityZone zone,
      int requiredZones,
      InstantSource clock,
      HomeWatchTimes times) {
    this.home = home;
    this.zone = zone;
    this.requiredZones = requiredZones;
    this.clock = clock;
    this.times = times;
    this.lastHeard = clock.instant();
    this.lastTick = lastHeard;
    this.nextQuestion = lastHeard;
  }

  /** Returns how long the home has not been heard; the answer to another watcher's question. */
  public Duration silence() {
    return Duration.between(lastHeard, clock.instant());
  }

  /** Takes one input and returns what has to be done about it. */
  public List<HomeWatchAction> step(HomeWatchInput input) {
    return switch (input) {
      case HomeWatchInput.Tick() -> tick();
      case HomeWatchInput.Heard() -> heard();
      case HomeWatchInput.Answered answer -> answered(answer);
    };
  }

  private List<HomeWatchAction> tick() {
    Instant now = clock.instant();
    boolean wasPaused = now.isAfter(lastTick.plus(times.pause()));
    lastTick = now;
    if (wasPaused) {
      return heard();
    }
    if (!isSilent() || now.isBefore(nextQuestion)) {
      return List.of();
    }
    nextQuestion = now.plus(times.repeat());
    silentZones.clear();
    silentZones.add(zone);
    return isLost() ? List.of(lost()) : List.of(new HomeWatchAction.AskWatchers(home));
  }

  private List<HomeWatchAction> heard() {
    lastHeard = clock.instant();
    silentZones.clear();
    return List.of();
  }

  private List<HomeWatchAction> answered(HomeWatchInput.Answered answer) {
    if (!isSilent() || silentZones.isEmpty() || answer.silence().compareTo(times.silence()) < 0) {
      return List.of();
    }
    silentZones.add(answer.zone());
    return isLost() ? List.of(lost()) : List.of();
  }

  private boolean isSilent() {
    return silence().compareTo(times.silence()) >= 0;
  }

  private boolean isLost() {
    return silentZones.size() >= requiredZones;
  }

  private HomeWatchAction lost() {
    return new HomeWatchAction.HomeLost(home, Set.copyOf(silentZones));
  }
}

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
 * Monitors the home of a group by its heartbeats, so that its failure is detected well before the
 * membership protocol of the fleet detects it. The first two candidates after the home each run a
 * monitor; the home counts as lost once monitors in enough zones have received no message from it
 * for the configured time.
 *
 * <p>Call {@link #step} from one thread only. A false alarm causes an unnecessary change of home
 * but is otherwise harmless, because the lease decides which VM is the home.
 */
public final class HomeMonitor {
  private final VmId home;
  private final AvailabilityZone zone;
  private final int requiredZones;
  private final InstantSource clock;
  private final HomeMonitorTimes times;
  private final Set<AvailabilityZone> zonesReportingSilence = new TreeSet<>();
  private Instant lastMessageAt;
  private Instant lastTick;
  private Instant nextQueryAt;

  /**
   * Creates a monitor that assumes a message of the home has just arrived.
   *
   * @param home the home to monitor
   * @param zone the zone of this VM
   * @param requiredZones number of zones in which monitors must report silence: two, or one if the
   *     fleet has only one zone
   * @param clock a clock that never goes backwards
   * @param times intervals and timeouts
   */
  public HomeMonitor(
      VmId home,
      AvailabilityZone zone,
      int requiredZones,
      InstantSource clock,
      HomeMonitorTimes times) {
    this.home = home;
    this.zone = zone;
    this.requiredZones = requiredZones;
    this.clock = clock;
    this.times = times;
    this.lastMessageAt = clock.instant();
    this.lastTick = lastMessageAt;
    this.nextQueryAt = lastMessageAt;
  }

  /** Returns the time since the last message of the home; also sent to monitors that ask. */
  public Duration silence() {
    return Duration.between(lastMessageAt, clock.instant());
  }

  /** Processes one input and returns the actions to carry out. */
  public List<HomeMonitorAction> step(HomeMonitorInput input) {
    return switch (input) {
      case HomeMonitorInput.Tick() -> tick();
      case HomeMonitorInput.MessageReceived() -> resetSilence();
      case HomeMonitorInput.MonitorAnswered answer -> handleAnswer(answer);
    };
  }

  private List<HomeMonitorAction> tick() {
    Instant now = clock.instant();
    boolean wasPaused = now.isAfter(lastTick.plus(times.pauseThreshold()));
    lastTick = now;
    if (wasPaused) {
      return resetSilence();
    }
    if (!isSilent() || now.isBefore(nextQueryAt)) {
      return List.of();
    }
    nextQueryAt = now.plus(times.queryInterval());
    zonesReportingSilence.clear();
    zonesReportingSilence.add(zone);
    return isLost() ? List.of(homeLost()) : List.of(new HomeMonitorAction.QueryMonitors(home));
  }

  private List<HomeMonitorAction> resetSilence() {
    lastMessageAt = clock.instant();
    zonesReportingSilence.clear();
    return List.of();
  }

  private List<HomeMonitorAction> handleAnswer(HomeMonitorInput.MonitorAnswered answer) {
    if (!isSilent()
        || zonesReportingSilence.isEmpty()
        || answer.silence().compareTo(times.silenceTimeout()) < 0) {
      return List.of();
    }
    zonesReportingSilence.add(answer.zone());
    return isLost() ? List.of(homeLost()) : List.of();
  }

  private boolean isSilent() {
    return silence().compareTo(times.silenceTimeout()) >= 0;
  }

  private boolean isLost() {
    return zonesReportingSilence.size() >= requiredZones;
  }

  private HomeMonitorAction homeLost() {
    return new HomeMonitorAction.HomeLost(home, Set.copyOf(zonesReportingSilence));
  }
}

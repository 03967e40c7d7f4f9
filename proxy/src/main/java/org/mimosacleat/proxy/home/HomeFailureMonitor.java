package org.mimosacleat.proxy.home;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.membership.HomeMonitor;
import org.mimosacleat.core.membership.HomeMonitorAction;
import org.mimosacleat.core.membership.HomeMonitorInput;
import org.mimosacleat.core.membership.HomeMonitorTimes;
import org.mimosacleat.core.placement.PlacementTable;
import org.mimosacleat.wire.fleet.HomeMessage;

/**
 * Detects the failure of a group's home, together with the other candidates, while another VM is
 * the home. Call {@link #watch} at each tick, pass received messages to the other methods, and
 * query {@link #isLost} and {@link #placement} before a decision. Not thread-safe: use it on the
 * mailbox thread only.
 */
final class HomeFailureMonitor {
  private static final int ZONES_REQUIRED_FOR_HOME_LOSS = 2;

  private final GroupId group;
  private final HomeContext context;
  private Optional<HomeMonitor> homeWatch = Optional.empty();
  private Optional<VmId> watchedHome = Optional.empty();
  private Optional<VmId> lostHome = Optional.empty();
  private Optional<PlacementTable> placementWithoutLostHome = Optional.empty();

  HomeFailureMonitor(GroupId group, HomeContext context) {
    this.group = group;
    this.context = context;
  }

  /** Stops watching, because this VM is now the home. */
  void reset() {
    homeWatch = Optional.empty();
    clearLostHome();
  }

  /** Returns whether candidates in enough availability zones have lost contact with this home. */
  boolean isLost(VmId home) {
    return lostHome.equals(Optional.of(home));
  }

  /** Returns the placement, without a lost home even if that is still a member of the fleet. */
  PlacementTable placement() {
    return placementWithoutLostHome.orElseGet(context.messenger()::placement);
  }

  /** Starts to watch {@code home} unless it is watched already, and processes a tick. */
  void watch(VmId home) {
    if (!isWatched(home) || homeWatch.isEmpty()) {
      watchedHome = Optional.of(home);
      homeWatch = Optional.of(newWatch(home));
    }
    homeWatch.get().step(new HomeMonitorInput.Tick()).forEach(this::carryOut);
  }

  /** Records a heartbeat. */
  void receiveHeartbeat(VmId sender) {
    if (isLost(sender)) {
      clearLostHome();
    }
    if (isWatched(sender)) {
      homeWatch.ifPresent(known -> known.step(new HomeMonitorInput.MessageReceived()));
    }
  }

  /** Reports to another candidate how long this VM has received no heartbeat. */
  void answerSilenceQuestion(VmId sender, HomeMessage.SilenceRequest question) {
    if (!isWatched(question.home()) || homeWatch.isEmpty()) {
      return;
    }
    HomeMessage answer =
        new HomeMessage.SilenceResponse(
            group, question.home(), context.zone(), homeWatch.get().silence());
    context.messenger().send(sender, answer);
  }

  /** Applies the answer of another candidate. */
  void receiveSilenceAnswer(VmId sender, HomeMessage.SilenceResponse answer) {
    homeWatch.ifPresent(
        known ->
            known
                .step(new HomeMonitorInput.MonitorAnswered(sender, answer.zone(), answer.silence()))
                .forEach(this::carryOut));
  }

  private void carryOut(HomeMonitorAction action) {
    switch (action) {
      case HomeMonitorAction.QueryMonitors ask -> askWatchers(ask.home());
      case HomeMonitorAction.HomeLost homeLost -> {
        lostHome = Optional.of(homeLost.home());
        placementWithoutLostHome =
            Optional.of(context.messenger().placementWithout(homeLost.home()));
        context
            .journal()
            .add(
                group,
                "home "
                    + homeLost.home()
                    + " is considered lost: no heartbeat received in "
                    + homeLost.zones());
      }
    }
  }

  private void askWatchers(VmId home) {
    HomeMessage question = new HomeMessage.SilenceRequest(group, home);
    candidates().stream()
        .filter(vm -> !vm.equals(context.self()) && !vm.equals(home))
        .forEach(vm -> context.messenger().send(vm, question));
  }

  private HomeMonitor newWatch(VmId home) {
    return new HomeMonitor(
        home,
        context.zone(),
        Math.min(ZONES_REQUIRED_FOR_HOME_LOSS, candidates().size() - 1),
        context.clock(),
        HomeMonitorTimes.STANDARD);
  }

  private boolean isWatched(VmId home) {
    return watchedHome.equals(Optional.of(home));
  }

  private void clearLostHome() {
    lostHome = Optional.empty();
    placementWithoutLostHome = Optional.empty();
  }

  private List<VmId> candidates() {
    return context.messenger().candidates(group);
  }
}

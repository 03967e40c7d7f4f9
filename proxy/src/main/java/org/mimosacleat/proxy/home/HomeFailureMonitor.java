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
 * the home. Call {@link #monitor} at each tick, pass received messages to the other methods, and
 * query {@link #isLost} and {@link #placement} before a decision. Not thread-safe: use it on the
 * mailbox thread only.
 */
final class HomeFailureMonitor {
  private static final int ZONES_REQUIRED_FOR_HOME_LOSS = 2;

  private final GroupId group;
  private final HomeContext context;
  private Optional<HomeMonitor> homeMonitor = Optional.empty();
  private Optional<VmId> monitoredHome = Optional.empty();
  private Optional<VmId> lostHome = Optional.empty();
  private Optional<PlacementTable> placementWithoutLostHome = Optional.empty();

  HomeFailureMonitor(GroupId group, HomeContext context) {
    this.group = group;
    this.context = context;
  }

  /** Stops watching, because this VM is now the home. */
  void reset() {
    homeMonitor = Optional.empty();
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
  void monitor(VmId home) {
    if (!isMonitored(home) || homeMonitor.isEmpty()) {
      monitoredHome = Optional.of(home);
      homeMonitor = Optional.of(newMonitor(home));
    }
    homeMonitor.get().step(new HomeMonitorInput.Tick()).forEach(this::carryOut);
  }

  /** Records a heartbeat. */
  void receiveHeartbeat(VmId sender) {
    if (isLost(sender)) {
      clearLostHome();
    }
    if (isMonitored(sender)) {
      homeMonitor.ifPresent(monitor -> monitor.step(new HomeMonitorInput.MessageReceived()));
    }
  }

  /** Reports to another candidate how long this VM has received no heartbeat. */
  void answerSilenceRequest(VmId sender, HomeMessage.SilenceRequest request) {
    if (!isMonitored(request.home()) || homeMonitor.isEmpty()) {
      return;
    }
    HomeMessage response =
        new HomeMessage.SilenceResponse(
            group, request.home(), context.zone(), homeMonitor.get().silence());
    context.messenger().send(sender, response);
  }

  /** Applies the answer of another candidate. */
  void receiveSilenceResponse(VmId sender, HomeMessage.SilenceResponse response) {
    homeMonitor.ifPresent(
        monitor ->
            monitor
                .step(
                    new HomeMonitorInput.MonitorAnswered(
                        sender, response.zone(), response.silence()))
                .forEach(this::carryOut));
  }

  private void carryOut(HomeMonitorAction action) {
    switch (action) {
      case HomeMonitorAction.QueryMonitors query -> queryOtherMonitors(query.home());
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

  private void queryOtherMonitors(VmId home) {
    HomeMessage request = new HomeMessage.SilenceRequest(group, home);
    candidates().stream()
        .filter(vm -> !vm.equals(context.self()) && !vm.equals(home))
        .forEach(vm -> context.messenger().send(vm, request));
  }

  private HomeMonitor newMonitor(VmId home) {
    return new HomeMonitor(
        home,
        context.zone(),
        Math.min(ZONES_REQUIRED_FOR_HOME_LOSS, candidates().size() - 1),
        context.clock(),
        HomeMonitorTimes.STANDARD);
  }

  private boolean isMonitored(VmId home) {
    return monitoredHome.equals(Optional.of(home));
  }

  private void clearLostHome() {
    lostHome = Optional.empty();
    placementWithoutLostHome = Optional.empty();
  }

  private List<VmId> candidates() {
    return context.messenger().candidates(group);
  }
}

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
 * Watches the home of a group while another VM holds it, together with the other candidates. Call
 * {@link #watch} at each tick, pass the messages in, and ask {@link #hasLost} and {@link
 * #placement} before a decision. Use it from the mailbox only.
 */
final class HomeGuard {
  private static final int ZONES_TO_LOSE_HOME = 2;

  private final GroupId group;
  private final HomeContext context;
  private Optional<HomeMonitor> watch = Optional.empty();
  private Optional<VmId> watched = Optional.empty();
  private Optional<VmId> lost = Optional.empty();
  private Optional<PlacementTable> withoutLost = Optional.empty();

  HomeGuard(GroupId group, HomeContext context) {
    this.group = group;
    this.context = context;
  }

  /** Forgets what was watched, because this VM is the home now. */
  void reset() {
    watch = Optional.empty();
    forgetLost();
  }

  /** Tells whether enough watchers have lost this home. */
  boolean hasLost(VmId home) {
    return lost.equals(Optional.of(home));
  }

  /** Returns the placement; a lost home may still count as a member, but has no place in it. */
  PlacementTable placement() {
    return withoutLost.orElseGet(context.messenger()::placement);
  }

  /** Watches {@code home} from now on, and lets time pass. */
  void watch(VmId home) {
    if (!isWatched(home) || watch.isEmpty()) {
      watched = Optional.of(home);
      watch = Optional.of(newWatch(home));
    }
    watch.get().step(new HomeMonitorInput.Tick()).forEach(this::carryOut);
  }

  /** Takes in a heartbeat. */
  void heard(VmId sender) {
    if (hasLost(sender)) {
      forgetLost();
    }
    if (isWatched(sender)) {
      watch.ifPresent(known -> known.step(new HomeMonitorInput.MessageReceived()));
    }
  }

  /** Answers another watcher. */
  void answer(VmId sender, HomeMessage.SilenceQuestion question) {
    if (!isWatched(question.home()) || watch.isEmpty()) {
      return;
    }
    HomeMessage answer =
        new HomeMessage.SilenceAnswer(
            group, question.home(), context.zone(), watch.get().silence());
    context.messenger().tell(sender, answer);
  }

  /** Takes in the answer of another watcher. */
  void answered(VmId sender, HomeMessage.SilenceAnswer answer) {
    watch.ifPresent(
        known ->
            known
                .step(new HomeMonitorInput.MonitorAnswered(sender, answer.zone(), answer.silence()))
                .forEach(this::carryOut));
  }

  private void carryOut(HomeMonitorAction action) {
    switch (action) {
      case HomeMonitorAction.QueryMonitors ask -> askWatchers(ask.home());
      case HomeMonitorAction.HomeLost homeLost -> {
        lost = Optional.of(homeLost.home());
        withoutLost = Optional.of(context.messenger().placementWithout(homeLost.home()));
        context
            .journal()
            .add(group, "home " + homeLost.home() + " is not heard in " + homeLost.zones());
      }
    }
  }

  private void askWatchers(VmId home) {
    HomeMessage question = new HomeMessage.SilenceQuestion(group, home);
    candidates().stream()
        .filter(vm -> !vm.equals(context.self()) && !vm.equals(home))
        .forEach(vm -> context.messenger().tell(vm, question));
  }

  private HomeMonitor newWatch(VmId home) {
    return new HomeMonitor(
        home,
        context.zone(),
        Math.min(ZONES_TO_LOSE_HOME, candidates().size() - 1),
        context.clock(),
        HomeMonitorTimes.STANDARD);
  }

  private boolean isWatched(VmId home) {
    return watched.equals(Optional.of(home));
  }

  private void forgetLost() {
    lost = Optional.empty();
    withoutLost = Optional.empty();
  }

  private List<VmId> candidates() {
    return context.messenger().candidates(group);
  }
}

package org.mimosacleat.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;

/** Divides a limit over homes while reports and answers are lost, late and reordered. */
class ShareDivisionPropertyTest {
  private static final CustomerId CUSTOMER = new CustomerId("k");
  private static final Resource RESOURCE = Resource.CONNECTIONS;
  private static final long LIMIT = 100;
  private static final VmId FIRST = new VmId("coordinator-0");
  private static final VmId SECOND = new VmId("coordinator-1");

  /** Which part of the rule is left out, for the check of the check. */
  private enum Variant {
    CORRECT,
    ANSWERS_OF_EARLIER_REPORTS_COUNT,
    REPORTS_OF_OTHERS_ARE_IGNORED
  }

  @Property(seed = "5003", tries = 200)
  void homesNeverHoldMoreThanTheLimitTogether(@ForAll long seed) {
    assertEquals("", firstFault(seed, Variant.CORRECT));
  }

  @Example
  void theCheckFindsLateAnswersThatCount() {
    assertNotEquals("", anyFault(Variant.ANSWERS_OF_EARLIER_REPORTS_COUNT));
  }

  @Example
  void theCheckFindsGrantsThatDoNotWaitForOthers() {
    assertNotEquals("", anyFault(Variant.REPORTS_OF_OTHERS_ARE_IGNORED));
  }

  @Example
  void wholeLimitFollowsDemandToOneHomeWithinFourRounds() {
    PausedClock clock = new PausedClock();
    Map<VmId, ShareHolder> holders = holders(clock);
    ShareCoordinator coordinator = coordinator(FIRST, clock, holders.keySet());
    VmId busy = new VmId("home-1");
    for (int round = 0; round < 4; round++) {
      clock.advance(HomeShares.REPORT_INTERVAL);
      holders.forEach(
          (vm, holder) ->
              coordinator
                  .report(holder.report(FIRST, vm.equals(busy) ? LIMIT : 0))
                  .ifPresent(holder::accept));
    }

    assertEquals(LIMIT, holders.get(busy).held());
  }

  @Example
  void sharesStayWhileTheCoordinatorIsNew() {
    PausedClock clock = new PausedClock();
    ShareCoordinator coordinator = coordinator(FIRST, clock, holders(clock).keySet());
    ShareReport report =
        new ShareReport(
            CUSTOMER, RESOURCE, new VmId("home-1"), FIRST, ShareReport.NO_ECHO, 1, 40, 100);

    assertEquals(40, coordinator.report(report).get().units());
  }

  @Example
  void nothingIsRaisedWhileAnotherHolderIsSilent() {
    PausedClock clock = new PausedClock();
    Map<VmId, ShareHolder> holders = holders(clock);
    ShareCoordinator coordinator = coordinator(FIRST, clock, holders.keySet());
    for (int round = 0; round < 4; round++) {
      clock.advance(HomeShares.REPORT_INTERVAL);
      holders.forEach(
          (vm, holder) -> coordinator.report(holder.report(FIRST, 0)).ifPresent(holder::accept));
    }
    ShareHolder eager = holders.get(new VmId("home-1"));
    final long before = eager.held();
    coordinator.setLimit(2 * LIMIT);
    for (int round = 0; round < 2; round++) {
      clock.advance(ShareCoordinator.REPORT_LIFETIME);
      coordinator.report(eager.report(FIRST, LIMIT)).ifPresent(eager::accept);
    }

    assertEquals(before, eager.held());
  }

  @Example
  void holderTakesNoRaiseUntilItsEarlierCoordinatorHasForgottenIt() {
    PausedClock clock = new PausedClock();
    ShareHolder holder = holders(clock).get(new VmId("home-1"));
    holder.accept(raise(holder.report(FIRST, 1), 10));
    holder.accept(raise(holder.report(SECOND, 1), 30));
    assertEquals(10, holder.held());
    clock.advance(ShareCoordinator.REPORT_LIFETIME);
    holder.accept(raise(holder.report(SECOND, 1), 30));

    assertEquals(30, holder.held());
  }

  private static ShareGrant raise(ShareReport report, long units) {
    return new ShareGrant(
        CUSTOMER, RESOURCE, report.holder(), report.coordinator(), 1, report.sequence(), units);
  }

  private static String anyFault(Variant variant) {
    for (long seed = 1; seed <= 50; seed++) {
      String fault = firstFault(seed, variant);
      if (!fault.isEmpty()) {
        return fault;
      }
    }
    return "";
  }

  private static Map<VmId, ShareHolder> holders(PausedClock clock) {
    Map<VmId, ShareHolder> holders = new TreeMap<>();
    for (int number = 0; number < 3; number++) {
      VmId vm = new VmId("home-" + number);
      holders.put(vm, new ShareHolder(CUSTOMER, RESOURCE, vm, clock));
    }
    return holders;
  }

  private static String firstFault(long seed, Variant variant) {
    SplittableRandom random = new SplittableRandom(seed);
    PausedClock clock = new PausedClock();
    Map<VmId, ShareHolder> holders = holders(clock);
    Map<VmId, Long> forced = new TreeMap<>();
    Map<VmId, ShareCoordinator> coordinators = new TreeMap<>();
    for (VmId vm : List.of(FIRST, SECOND)) {
      coordinators.put(vm, coordinator(vm, clock, holders.keySet()));
    }
    List<ShareReport> reports = new ArrayList<>();
    List<ShareGrant> grants = new ArrayList<>();
    boolean unsettled = random.nextBoolean();
    VmId current = FIRST;
    for (int step = 0; step < 600; step++) {
      clock.advance(Duration.ofMillis(random.nextInt(30)));
      if (random.nextInt(200) == 0) {
        current = current.equals(FIRST) ? SECOND : FIRST;
        coordinators.put(current, coordinator(current, clock, holders.keySet()));
      }
      VmId vm = new VmId("home-" + random.nextInt(3));
      VmId to = unsettled && random.nextInt(10) == 0 ? SECOND : current;
      long demand = random.nextInt(3) == 0 ? 200 : random.nextInt(20);
      reports.add(holders.get(vm).report(to, demand));
      if (random.nextInt(8) > 0) {
        ShareReport report = reports.remove(random.nextInt(reports.size()));
        answer(coordinators.get(report.coordinator()), report, variant).ifPresent(grants::add);
      }
      if (random.nextInt(8) > 0 && !grants.isEmpty()) {
        ShareGrant grant = grants.remove(random.nextInt(grants.size()));
        if (variant == Variant.ANSWERS_OF_EARLIER_REPORTS_COUNT) {
          forced.put(grant.holder(), grant.units());
        }
        holders.get(grant.holder()).accept(grant);
      }
      long held = 0;
      for (Map.Entry<VmId, ShareHolder> entry : holders.entrySet()) {
        held += forced.getOrDefault(entry.getKey(), entry.getValue().held());
      }
      if (held > LIMIT) {
        return "homes hold " + held + " at step " + step;
      }
    }
    return "";
  }

  private static ShareCoordinator coordinator(VmId self, PausedClock clock, Set<VmId> homes) {
    ShareCoordinator coordinator = new ShareCoordinator(self, LIMIT, clock);
    coordinator.setHolders(homes);
    return coordinator;
  }

  private static Optional<ShareGrant> answer(
      ShareCoordinator coordinator, ShareReport report, Variant variant) {
    if (variant != Variant.REPORTS_OF_OTHERS_ARE_IGNORED) {
      return coordinator.report(report);
    }
    long units = Math.min(LIMIT, report.demand());
    return Optional.of(
        new ShareGrant(
            CUSTOMER,
            RESOURCE,
            report.holder(),
            report.coordinator(),
            0,
            report.sequence(),
            units));
  }
}

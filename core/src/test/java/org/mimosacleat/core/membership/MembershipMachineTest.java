package org.mimosacleat.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;

class MembershipMachineTest {
  private static final List<VmId> FLEET = MembershipNetwork.names("vm", 14);
  private static final VmId VICTIM = new VmId("vm5");

  @Property(tries = 30, seed = "31")
  void crashIsKnownEverywhereAndNobodyElseIsDeclaredDead(@ForAll long seed) {
    MembershipNetwork network = started(seed, MembershipTimes.STANDARD);
    network.machines.remove(VICTIM);

    network.run(Duration.ofSeconds(30));

    assertEquals(Set.of(VICTIM), network.agreed(MemberStatus.DEAD), "seed " + seed);
    assertEquals(FLEET.size() - 1, network.agreed(MemberStatus.ALIVE).size(), "seed " + seed);
    assertTrue(network.explanations.stream().anyMatch(line -> line.contains("vm5")));
  }

  @Test
  void pausedVmAccusesNobodyWhenItResumes() {
    MembershipTimes wrong = withPause(Duration.ofDays(1));
    boolean isFound = false;
    for (long seed = 0; seed < 20; seed++) {
      assertFalse(accusesAfterPause(seed, MembershipTimes.STANDARD), "seed " + seed);
      isFound |= accusesAfterPause(seed, wrong);
    }
    assertTrue(isFound, "without the check it accuses");
  }

  @Test
  void vmThatOnlyHelpersReachIsNotSuspected() {
    MembershipNetwork network = started(3, MembershipTimes.STANDARD);
    VmId prober = new VmId("vm0");
    network.isCut = (from, to) -> from.equals(prober) && to.equals(VICTIM);

    network.run(Duration.ofMinutes(2));

    assertTrue(network.explanations.stream().noneMatch(line -> line.contains("SUSPECT")));
  }

  @Test
  void regionsThatLostEachOtherFindTogetherAgain() {
    MembershipNetwork network = started(4, MembershipTimes.STANDARD);
    network.isCut = (from, to) -> isWest(from) != isWest(to);
    network.run(Duration.ofSeconds(60));
    VmId east = new VmId("vm12");
    assertFalse(network.machines.get(new VmId("vm0")).view().isLive(east));

    network.isCut = (from, to) -> false;
    network.run(Duration.ofSeconds(60));

    assertEquals(Set.copyOf(FLEET), network.agreed(MemberStatus.ALIVE));
  }

  @Test
  void fleetReplacedAtOnceComesUpFromTheLaggingList() {
    MembershipNetwork network = started(5, MembershipTimes.STANDARD);
    List<VmId> replacements = MembershipNetwork.names("next", 14);
    network.machines.clear();

    network.start(replacements, FLEET.subList(0, 7));
    network.run(Duration.ofSeconds(5));
    network.list(List.of(replacements.get(0), replacements.get(1)));
    network.run(Duration.ofSeconds(60));

    assertEquals(Set.copyOf(replacements), network.agreed(MemberStatus.ALIVE));
    assertEquals(Set.copyOf(FLEET.subList(0, 7)), network.agreed(MemberStatus.DEAD));
  }

  @Test
  void restartedVmIsAliveWhateverWasBelievedOfItsEarlierLife() {
    MembershipNetwork network = started(6, MembershipTimes.STANDARD);
    network.machines.remove(VICTIM);
    network.run(Duration.ofSeconds(30));

    network.start(List.of(VICTIM), FLEET);
    network.run(Duration.ofSeconds(20));

    assertEquals(Set.copyOf(FLEET), network.agreed(MemberStatus.ALIVE));
  }

  @Test
  void leavingVmGetsNoHomeButIsLive() {
    MembershipNetwork network = started(7, MembershipTimes.STANDARD);

    network.machines.get(VICTIM).step(new MembershipInput.Leave());
    network.run(Duration.ofSeconds(10));

    MembersView view = network.machines.get(new VmId("vm0")).view();
    assertEquals(Set.of(VICTIM), network.agreed(MemberStatus.LEAVING));
    assertTrue(view.isLive(VICTIM));
    assertTrue(view.homes().stream().noneMatch(member -> member.vm().equals(VICTIM)));
  }

  private static boolean accusesAfterPause(long seed, MembershipTimes times) {
    MembershipNetwork network = started(seed, times);
    network.isCut = (from, to) -> to.equals(VICTIM);
    network.run(Duration.ofMillis(900));
    network.paused.add(VICTIM);
    network.run(Duration.ofMillis(1_400));
    network.paused.remove(VICTIM);
    network.isCut = (from, to) -> false;
    network.explanations.clear();
    network.run(Duration.ofMillis(100));
    return network.explanations.stream()
        .anyMatch(line -> line.contains("is SUSPECT") && line.contains("by " + VICTIM));
  }

  private static MembershipNetwork started(long seed, MembershipTimes times) {
    MembershipNetwork network = new MembershipNetwork(seed, times);
    network.start(FLEET, FLEET);
    network.run(Duration.ofSeconds(10));
    assertNotEquals(Set.of(), network.agreed(MemberStatus.ALIVE));
    return network;
  }

  private static MembershipTimes withPause(Duration pause) {
    MembershipTimes times = MembershipTimes.STANDARD;
    return new MembershipTimes(
        times.probeInterval(),
        times.directTimeout(),
        times.suspicion(),
        times.confirmedSuspicion(),
        pause,
        times.reprobe());
  }

  private static boolean isWest(VmId vm) {
    return MembershipNetwork.index(vm) < 5;
  }
}

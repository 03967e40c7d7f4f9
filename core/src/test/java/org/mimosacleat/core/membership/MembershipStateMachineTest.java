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

class MembershipStateMachineTest {
  private static final List<VmId> FLEET = MembershipNetwork.vmIds("vm", 14);
  private static final VmId VICTIM = new VmId("vm5");

  @Property(tries = 30, seed = "31")
  void crashIsDetectedEverywhereAndNoOtherVmIsDeclaredDead(@ForAll long seed) {
    MembershipNetwork network = startedNetwork(seed, MembershipTimes.STANDARD);
    network.machines.remove(VICTIM);

    network.run(Duration.ofSeconds(30));

    assertEquals(Set.of(VICTIM), network.agreedVms(MemberStatus.DEAD), "seed " + seed);
    assertEquals(FLEET.size() - 1, network.agreedVms(MemberStatus.ALIVE).size(), "seed " + seed);
    assertTrue(network.explanations.stream().anyMatch(line -> line.contains("vm5")));
  }

  @Test
  void pausedVmSuspectsNoMemberWhenItResumes() {
    MembershipTimes withoutPauseCheck = withPauseThreshold(Duration.ofDays(1));
    boolean isDetected = false;
    for (long seed = 0; seed < 20; seed++) {
      assertFalse(suspectsAfterPause(seed, MembershipTimes.STANDARD), "seed " + seed);
      isDetected |= suspectsAfterPause(seed, withoutPauseCheck);
    }
    assertTrue(isDetected, "without the pause check the resumed VM suspects members");
  }

  @Test
  void vmReachableOnlyThroughHelpersIsNotSuspected() {
    MembershipNetwork network = startedNetwork(3, MembershipTimes.STANDARD);
    VmId prober = new VmId("vm0");
    network.isDropped = (from, to) -> from.equals(prober) && to.equals(VICTIM);

    network.run(Duration.ofMinutes(2));

    assertTrue(network.explanations.stream().noneMatch(line -> line.contains("SUSPECT")));
  }

  @Test
  void partitionedRegionsRejoinAfterThePartitionHeals() {
    MembershipNetwork network = startedNetwork(4, MembershipTimes.STANDARD);
    network.isDropped = (from, to) -> isWest(from) != isWest(to);
    network.run(Duration.ofSeconds(60));
    VmId east = new VmId("vm12");
    assertFalse(network.machines.get(new VmId("vm0")).view().isLive(east));

    network.isDropped = (from, to) -> false;
    network.run(Duration.ofSeconds(60));

    assertEquals(Set.copyOf(FLEET), network.agreedVms(MemberStatus.ALIVE));
  }

  @Test
  void replacedFleetConvergesFromStaleVmList() {
    MembershipNetwork network = startedNetwork(5, MembershipTimes.STANDARD);
    List<VmId> replacements = MembershipNetwork.vmIds("next", 14);
    network.machines.clear();

    network.start(replacements, FLEET.subList(0, 7));
    network.run(Duration.ofSeconds(5));
    network.updateVmList(List.of(replacements.get(0), replacements.get(1)));
    network.run(Duration.ofSeconds(60));

    assertEquals(Set.copyOf(replacements), network.agreedVms(MemberStatus.ALIVE));
    assertEquals(Set.copyOf(FLEET.subList(0, 7)), network.agreedVms(MemberStatus.DEAD));
  }

  @Test
  void restartedVmIsAliveAlthoughItsPreviousIncarnationIsDead() {
    MembershipNetwork network = startedNetwork(6, MembershipTimes.STANDARD);
    network.machines.remove(VICTIM);
    network.run(Duration.ofSeconds(30));

    network.start(List.of(VICTIM), FLEET);
    network.run(Duration.ofSeconds(20));

    assertEquals(Set.copyOf(FLEET), network.agreedVms(MemberStatus.ALIVE));
  }

  @Test
  void leavingVmIsLiveButNoHomeCandidate() {
    MembershipNetwork network = startedNetwork(7, MembershipTimes.STANDARD);

    network.machines.get(VICTIM).step(new MembershipInput.Leave());
    network.run(Duration.ofSeconds(10));

    MembershipView view = network.machines.get(new VmId("vm0")).view();
    assertEquals(Set.of(VICTIM), network.agreedVms(MemberStatus.LEAVING));
    assertTrue(view.isLive(VICTIM));
    assertTrue(view.homeCandidates().stream().noneMatch(member -> member.vm().equals(VICTIM)));
  }

  private static boolean suspectsAfterPause(long seed, MembershipTimes times) {
    MembershipNetwork network = startedNetwork(seed, times);
    network.isDropped = (from, to) -> to.equals(VICTIM);
    network.run(Duration.ofMillis(900));
    network.paused.add(VICTIM);
    network.run(Duration.ofMillis(1_400));
    network.paused.remove(VICTIM);
    network.isDropped = (from, to) -> false;
    network.explanations.clear();
    network.run(Duration.ofMillis(100));
    return network.explanations.stream()
        .anyMatch(line -> line.contains("is SUSPECT") && line.contains("by " + VICTIM));
  }

  private static MembershipNetwork startedNetwork(long seed, MembershipTimes times) {
    MembershipNetwork network = new MembershipNetwork(seed, times);
    network.start(FLEET, FLEET);
    network.run(Duration.ofSeconds(10));
    assertNotEquals(Set.of(), network.agreedVms(MemberStatus.ALIVE));
    return network;
  }

  private static MembershipTimes withPauseThreshold(Duration threshold) {
    MembershipTimes times = MembershipTimes.STANDARD;
    return new MembershipTimes(
        times.probeInterval(),
        times.directTimeout(),
        times.suspicionTimeout(),
        times.confirmedSuspicionTimeout(),
        threshold,
        times.reprobeInterval());
  }

  private static boolean isWest(VmId vm) {
    return MembershipNetwork.index(vm) < 5;
  }
}

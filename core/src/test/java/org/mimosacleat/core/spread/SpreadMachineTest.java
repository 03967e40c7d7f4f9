package org.mimosacleat.core.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

class SpreadMachineTest {
  private static final ListKind PLANS = ListKind.PLANS;

  @Property(tries = 60, seed = "91")
  void versionNeverDecreasesAndEveryVmReachesTheHighest(@ForAll long seed) {
    SpreadNetwork network = new SpreadNetwork(seed, 14, false);
    network.runWithFaults(300);
    network.deliverDelayedMessages();
    network.run(Duration.ofSeconds(10));

    assertEquals(0, network.decreases, "seed " + seed);
    network.versions().forEach(version -> assertEquals(network.highest(), version));
  }

  @Test
  void checkDetectsVmsThatAcceptLowerVersions() {
    int decreases = 0;
    for (long seed = 0; seed < 5; seed++) {
      SpreadNetwork network = new SpreadNetwork(seed, 14, true);
      network.runWithFaults(300);
      decreases += network.decreases;
    }

    assertTrue(decreases > 0);
  }

  @Test
  void changeReachesAllVmsInThreeSecondsWithoutTheStore() {
    SpreadNetwork network = new SpreadNetwork(1, 14, false);
    network.run(Duration.ofSeconds(5));
    network.storeDown = true;
    network.publishAt(0);

    network.run(Duration.ofSeconds(3));

    network.versions().forEach(version -> assertEquals(network.highest(), version));
  }

  @Test
  void restartedVmGetsTheHighestVersionFromPeersWhileTheStoreIsDown() {
    SpreadNetwork network = new SpreadNetwork(2, 14, false);
    network.run(Duration.ofSeconds(5));
    network.publishAt(0);
    network.run(Duration.ofSeconds(5));
    network.storeDown = true;
    SpreadMachine restarted = network.restart(3);
    assertFalse(restarted.isReady(), "the restarted VM has no answers yet");

    network.run(Duration.ofSeconds(3));

    assertTrue(restarted.isReady());
    assertEquals(network.highest(), restarted.versions().get(PLANS));
  }

  @Test
  void olderStoreVersionIsReportedAndNotApplied() {
    SpreadNetwork network = new SpreadNetwork(3, 2, false);
    SpreadMachine machine = network.machine(0);
    ListVersion seven = new ListVersion(7);
    machine.step(new SpreadInput.FromStore(SpreadNetwork.list(7)));

    List<SpreadAction> actions =
        machine.step(new SpreadInput.StoreVersions(Map.of(PLANS, new ListVersion(6))));

    assertEquals(
        List.of(new SpreadAction.StoreIsBehind(PLANS, seven, new ListVersion(6))), actions);
    assertEquals(seven, machine.versions().get(PLANS));
  }

  @Test
  void deltaContainsOnlyTheChangeAndAppliesOnlyToItsBase() {
    PublishedList before = SpreadNetwork.list(7);
    ListDelta delta = ListDelta.between(before, SpreadNetwork.list(8));
    final PublishedList other =
        new PublishedList(
            PLANS, before.version(), "x", "me", before.editedAt(), "", "[other]\n\n\n\n\n\n\n");

    assertEquals("8", delta.inserted());
    assertEquals(Optional.of(SpreadNetwork.list(8)), delta.applyTo(before));
    assertEquals(Optional.empty(), delta.applyTo(SpreadNetwork.list(6)));
    assertEquals(Optional.empty(), delta.applyTo(other));
  }

  @Test
  void announcedVersionWithoutUpdatesIsFetched() {
    SpreadNetwork network = new SpreadNetwork(4, 2, false);
    SpreadMachine machine = network.machine(0);
    Map<ListKind, ListVersion> peerVersions = Map.of(PLANS, new ListVersion(9));
    VmId peer = new VmId("vm-1");

    List<SpreadAction> actions =
        machine.step(
            new SpreadInput.Received(new SpreadMessage.Announce(peer, peerVersions, List.of())));

    SpreadMessage fetch = new SpreadMessage.Fetch(new VmId("vm-0"), PLANS, ListVersion.NONE);
    assertEquals(List.of(new SpreadAction.Send(peer, fetch)), actions);
  }
}

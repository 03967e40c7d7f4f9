package org.mimosacleat.core.gossip;

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

class ListGossipStateMachineTest {
  private static final ListKind PLANS = ListKind.PLANS;

  @Property(tries = 60, seed = "91")
  void versionNeverDecreasesAndEveryVmReachesTheHighest(@ForAll long seed) {
    ListGossipNetwork network = new ListGossipNetwork(seed, 14, false);
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
      ListGossipNetwork network = new ListGossipNetwork(seed, 14, true);
      network.runWithFaults(300);
      decreases += network.decreases;
    }

    assertTrue(decreases > 0);
  }

  @Test
  void changeReachesAllVmsInThreeSecondsWithoutTheStore() {
    ListGossipNetwork network = new ListGossipNetwork(1, 14, false);
    network.run(Duration.ofSeconds(5));
    network.storeDown = true;
    network.publishAt(0);

    network.run(Duration.ofSeconds(3));

    network.versions().forEach(version -> assertEquals(network.highest(), version));
  }

  @Test
  void restartedVmGetsTheHighestVersionFromPeersWhileTheStoreIsDown() {
    ListGossipNetwork network = new ListGossipNetwork(2, 14, false);
    network.run(Duration.ofSeconds(5));
    network.publishAt(0);
    network.run(Duration.ofSeconds(5));
    network.storeDown = true;
    ListGossipStateMachine restarted = network.restart(3);
    assertFalse(restarted.isReady(), "the restarted VM has no answers yet");

    network.run(Duration.ofSeconds(3));

    assertTrue(restarted.isReady());
    assertEquals(network.highest(), restarted.versions().get(PLANS));
  }

  @Test
  void olderStoreVersionIsReportedAndNotApplied() {
    ListGossipNetwork network = new ListGossipNetwork(3, 2, false);
    ListGossipStateMachine machine = network.machine(0);
    ListVersion seven = new ListVersion(7);
    machine.step(new ListGossipInput.ListReadFromStore(ListGossipNetwork.list(7)));

    List<ListGossipAction> actions =
        machine.step(new ListGossipInput.StoreVersionsRead(Map.of(PLANS, new ListVersion(6))));

    assertEquals(
        List.of(new ListGossipAction.StoreIsBehind(PLANS, seven, new ListVersion(6))), actions);
    assertEquals(seven, machine.versions().get(PLANS));
  }

  @Test
  void deltaContainsOnlyTheChangeAndAppliesOnlyToItsBase() {
    PublishedList before = ListGossipNetwork.list(7);
    ListDelta delta = ListDelta.between(before, ListGossipNetwork.list(8));
    final PublishedList other =
        new PublishedList(
            PLANS, before.version(), "x", "me", before.editedAt(), "", "[other]\n\n\n\n\n\n\n");

    assertEquals("8", delta.inserted());
    assertEquals(Optional.of(ListGossipNetwork.list(8)), delta.applyTo(before));
    assertEquals(Optional.empty(), delta.applyTo(ListGossipNetwork.list(6)));
    assertEquals(Optional.empty(), delta.applyTo(other));
  }

  @Test
  void announcedVersionWithoutUpdatesIsFetched() {
    ListGossipNetwork network = new ListGossipNetwork(4, 2, false);
    ListGossipStateMachine machine = network.machine(0);
    Map<ListKind, ListVersion> peerVersions = Map.of(PLANS, new ListVersion(9));
    VmId peer = new VmId("vm-1");

    List<ListGossipAction> actions =
        machine.step(
            new ListGossipInput.Received(
                new ListGossipMessage.Announce(peer, peerVersions, List.of())));

    ListGossipMessage fetch =
        new ListGossipMessage.Fetch(new VmId("vm-0"), PLANS, ListVersion.NONE);
    assertEquals(List.of(new ListGossipAction.Send(peer, fetch)), actions);
  }
}

package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.EndpointRole;

class PrimaryReplacementTest {
  private static final VmId SELF = new VmId("self");
  private static final VmId OTHER = new VmId("other");

  private final ServingFixture proxy = new ServingFixture();
  private final FakeEndpoint old = proxy.primary;
  private final FakeEndpoint replica = proxy.replica;
  private final FakeEndpoint young = new FakeEndpoint("y", EndpointRole.REPLICA, 9);
  private final FakeGroup group = new FakeGroup(List.of(old, replica, young));
  private final FakeRecords records = new FakeRecords();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  @BeforeEach
  void record() {
    proxy.pools.put(young.entry());
    records.writePrimary(
        new PrimaryRecord(
            FakeEndpoint.GROUP, Optional.of(old.id()), new Term(1), 0, Optional.empty()),
        RecordedPrimary.ABSENT);
    records.proxies.put(SELF, new ProxyRecord(SELF, records.storeMillis));
  }

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  @Test
  void primaryThatIsReachedIsFencedBeforeAnotherIsPromoted() {
    assertTrue(run(true));

    assertEquals("demote p", group.orders.getFirst());
    assertEquals("promote r by self token 102", group.orders.get(1));
    assertEquals(Optional.of(replica.id()), records.primary.orElseThrow().record().primary());
    assertEquals(new Term(2), records.primary.orElseThrow().record().term());
  }

  @Test
  void mostAdvancedReplicaIsPromoted() {
    young.number = 11;
    old.reachable = false;

    assertTrue(run(false));

    assertTrue(group.orders.getFirst().startsWith("promote y"));
  }

  @Test
  void unreachablePrimaryIsNotReplacedWhileAnotherProxyMayUseIt() {
    old.reachable = false;
    records.proxies.put(OTHER, new ProxyRecord(OTHER, records.storeMillis));

    assertFalse(run(false));

    assertEquals(List.of(), group.orders);
  }

  @Test
  void unreachablePrimaryIsReplacedOnceAllProxiesHaveStopped() {
    old.reachable = false;
    records.proxies.put(OTHER, new ProxyRecord(OTHER, records.storeMillis));
    records.stops.add(new StopRecord(FakeEndpoint.GROUP, OTHER, 1, false));

    assertTrue(run(false));

    assertTrue(group.orders.getFirst().startsWith("promote r"));
  }

  @Test
  void stopOfAnEarlierRoundDoesNotCount() {
    old.reachable = false;
    records.proxies.put(OTHER, new ProxyRecord(OTHER, records.storeMillis));
    records.stops.add(new StopRecord(FakeEndpoint.GROUP, OTHER, 0, false));

    assertFalse(run(false));
  }

  @Test
  void proxyWhoseRightHasRunOutIsNotWaitedFor() {
    old.reachable = false;
    long longAgo =
        records.storeMillis
            - ProxyLease.DURATION.plus(ProxyLease.MARGIN).plus(Duration.ofMillis(1)).toMillis();
    records.proxies.put(OTHER, new ProxyRecord(OTHER, longAgo));

    assertTrue(run(false));
  }

  @Test
  void oneProxyThatReachesThePrimaryIsEnough() {
    old.reachable = false;
    records.proxies.put(OTHER, new ProxyRecord(OTHER, records.storeMillis));
    records.proxies.put(new VmId("frozen"), new ProxyRecord(OTHER, records.storeMillis));
    records.stops.add(new StopRecord(FakeEndpoint.GROUP, OTHER, 1, true));

    assertTrue(run(false));
  }

  @Test
  void claimOfAnotherProxyIsRespected() {
    RecordedPrimary seen = records.primary.orElseThrow();
    records.writePrimary(seen.record().replacedBy(new Replacement(OTHER, true)), seen.version());

    assertFalse(new PrimaryReplacement(parts(), seen).run(true));

    assertEquals(List.of(), group.orders);
  }

  @Test
  void promotionOfAnEarlierHolderIsRecordedRatherThanRepeated() {
    replica.role = EndpointRole.PRIMARY;
    replica.term = new Term(2);

    assertTrue(run(true));

    // The old primary is fenced again in the background, so only promotions are counted.
    assertFalse(group.orders.stream().anyMatch(order -> order.startsWith("promote")));
    assertEquals(Optional.of(replica.id()), records.primary.orElseThrow().record().primary());
  }

  private boolean run(boolean planned) {
    return new PrimaryReplacement(parts(), records.primary.orElseThrow()).run(planned);
  }

  private GuardParts parts() {
    return group.parts(SELF, proxy, records, new PrimaryRecords(_ -> {}), executor);
  }
}

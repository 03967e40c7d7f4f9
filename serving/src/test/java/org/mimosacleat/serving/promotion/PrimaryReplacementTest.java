package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.DirectExecutor;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.FakeMember;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.endpoint.Urgency;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.fleet.Teams;
import org.mimosacleat.serving.version.StoreVersion;

class PrimaryReplacementTest {
  private static final long MAX_MEDIAN_GAP_MILLIS = 1_500;
  private static final long SHORT_LEASE_MILLIS =
      ProxyLease.SHORT_DURATION.plus(ProxyLease.EXPIRY_MARGIN).toMillis();
  private static final Duration FREEZE = Duration.ofSeconds(4);

  /** The first record, the claim, and its first renewal. */
  private static final int RECORDS_WITH_FIRST_RENEWAL = 3;

  private static final VmId SELF = new VmId("self");
  private static final VmId OTHER = new VmId("other");

  private final ServingFixture proxy = new ServingFixture();
  private final FakeEndpoint oldPrimary = proxy.primary;
  private final FakeEndpoint replica = proxy.replica;
  private final FakeEndpoint otherReplica = new FakeEndpoint("y", EndpointRole.REPLICA, 9);
  private final FakeGroup group = new FakeGroup(List.of(oldPrimary, replica, otherReplica));
  private final FakeRecords records = new FakeRecords(proxy.clock);
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  @BeforeEach
  void record() {
    proxy.dialer.add(otherReplica);
    proxy.pools.put(otherReplica.entry());
    records.writePrimary(
        new PrimaryRecord(
            FakeEndpoint.GROUP,
            Optional.of(oldPrimary.id()),
            new Term(1),
            0,
            Optional.empty(),
            FakeRecords.CONFIRMED),
        StoreVersion.absent(FakeRecords.CONFIRMED.era()));
    records.proxies.put(
        SELF,
        new ProxyRecord(FakeMember.on(SELF), Set.of(FakeEndpoint.GROUP), records.storeMillis));
  }

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  @Test
  void reachablePrimaryIsFencedBeforeReplicaIsPromoted() {
    assertTrue(run(true));

    assertEquals("demote p", group.requests.getFirst());
    long token = new StoreVersion(FakeRecords.CONFIRMED.era(), 102).asToken();
    assertEquals("promote r by self token " + token, group.requests.get(1));
    assertEquals(Optional.of(replica.id()), records.primary.orElseThrow().record().primary());
    assertEquals(new Term(2), records.primary.orElseThrow().record().term());
  }

  @Test
  void mostAdvancedReplicaIsPromoted() {
    otherReplica.number = 11;
    oldPrimary.reachable = false;

    assertTrue(run(false));

    assertTrue(group.requests.getFirst().startsWith("promote y"));
  }

  /** Guards against acknowledged commits that are lost though a draining replica has them. */
  @Test
  void drainingReplicaWithTheCommitsIsPromoted() {
    proxy.pools.put(otherReplica.entry(true, 1));
    otherReplica.number = 11;
    oldPrimary.reachable = false;

    assertTrue(run(false));

    assertTrue(group.requests.getFirst().startsWith("promote y"));
  }

  /** Guards against acknowledged commits that only an endpoint has which does not answer. */
  @Test
  void nobodyIsPromotedWhileSynchronousReplicaIsSilent() {
    proxy.configure(2, Teams.NOT_CONFIGURED, 1);
    otherReplica.reachable = false;
    oldPrimary.reachable = false;

    assertFalse(run(false));

    assertEquals(List.of(), group.requests);
  }

  /** Guards against a wait in which a draining replica that alone has the commits ends. */
  @Test
  void endpointsThatAreKnownToHaveRunDelayNothing() {
    openConnection(replica);
    openConnection(otherReplica);
    proxy.clock.advance(PromotionChoice.ENTRY_LIFETIME.plusMillis(1));

    assertTrue(gapWithOneReplicaBehind().toMillis() < MAX_MEDIAN_GAP_MILLIS);
  }

  @Test
  void endpointThatMayHaveStartedAgainIsWaitedFor() {
    openConnection(replica);
    openConnection(otherReplica);

    Duration gap = gapWithOneReplicaBehind();

    assertTrue(gap.compareTo(PromotionChoice.ENTRY_LIFETIME) >= 0, "gap: " + gap);
  }

  /** Guards against an endpoint that has received only a part of its log since it started again. */
  @Test
  void mostAdvancedEndpointThatMayHaveStartedAgainIsWaitedFor() {
    openConnection(replica);
    proxy.clock.advance(PromotionChoice.ENTRY_LIFETIME.plusMillis(1));

    Duration gap = gapWithOneReplicaBehind();

    assertTrue(gap.compareTo(PromotionChoice.ENTRY_LIFETIME) >= 0, "gap: " + gap);
  }

  private void openConnection(FakeEndpoint endpoint) {
    proxy
        .pools
        .find(endpoint.id())
        .orElseThrow()
        .borrow(
            Optional.empty(),
            Map.of(),
            new Urgency(0, proxy.clock.instant()),
            proxy.clock.instant().plusSeconds(1))
        .get()
        .release();
  }

  /** Replaces the primary while only the other replica has all commits. */
  private Duration gapWithOneReplicaBehind() {
    proxy.configure(2, Teams.NOT_CONFIGURED, 1);
    otherReplica.number = replica.number + 1;
    oldPrimary.reachable = false;
    final Instant start = proxy.clock.instant();
    AtomicReference<Instant> promotedAt = new AtomicReference<>();
    group.promotionListener = () -> promotedAt.set(proxy.clock.instant());

    assertTrue(run(false));

    assertTrue(group.requests.getFirst().startsWith("promote y"));
    return Duration.between(start, promotedAt.get());
  }

  @Test
  void replacementWithoutSynchronousReplicasDoesNotWaitForSilentEndpoints() {
    otherReplica.reachable = false;
    oldPrimary.reachable = false;

    assertTrue(run(false));

    assertTrue(group.requests.getFirst().startsWith("promote r"));
  }

  /** Guards against a primary that is replaced by one that lacks its commits. */
  @Test
  void fencedPrimaryLeadsAgainIfItAloneHasTheCommits() {
    proxy.configure(2, Teams.NOT_CONFIGURED, 1);
    otherReplica.reachable = false;
    replica.number = oldPrimary.number - 1;

    assertTrue(run(true));

    assertTrue(group.requests.get(1).startsWith("promote p"), group.requests.toString());
  }

  @Test
  void unreachablePrimaryIsNotReplacedWhileAnotherProxyMayUseIt() {
    oldPrimary.reachable = false;
    records.proxies.put(
        OTHER,
        new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), records.storeMillis));

    assertFalse(run(false));

    assertEquals(List.of(), group.requests);
  }

  @Test
  void unreachablePrimaryIsReplacedOnceAllProxiesHaveStopped() {
    oldPrimary.reachable = false;
    records.proxies.put(
        OTHER,
        new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), records.storeMillis));
    records.stops.add(
        new StopRecord(FakeEndpoint.GROUP, OTHER, FakeRecords.CONFIRMED.era(), 1, false));

    assertTrue(run(false));

    assertTrue(group.requests.getFirst().startsWith("promote r"));
  }

  @Test
  void stopOfAnEarlierRoundIsIgnored() {
    oldPrimary.reachable = false;
    records.proxies.put(
        OTHER,
        new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), records.storeMillis));
    records.stops.add(
        new StopRecord(FakeEndpoint.GROUP, OTHER, FakeRecords.CONFIRMED.era(), 0, false));

    assertFalse(run(false));
  }

  @Test
  void proxyWithExpiredLeaseIsNotWaitedFor() {
    oldPrimary.reachable = false;
    long expiredRenewal =
        records.storeMillis
            - ProxyLease.DURATION
                .plus(ProxyLease.EXPIRY_MARGIN)
                .plus(Duration.ofMillis(1))
                .toMillis();
    records.proxies.put(
        OTHER, new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), expiredRenewal));

    assertTrue(run(false));
  }

  @Test
  void proxyThatMayNotUseThePrimaryIsNotWaitedFor() {
    oldPrimary.reachable = false;
    records.proxies.put(
        OTHER,
        new ProxyRecord(FakeMember.on(OTHER), Set.of(new GroupId("another")), records.storeMillis));

    assertTrue(run(false));
  }

  @Test
  void proxyOfEarlierVersionMayUseEveryPrimary() {
    oldPrimary.reachable = false;
    records.proxies.put(
        OTHER, new ProxyRecord(OTHER, Optional.empty(), Optional.empty(), records.storeMillis));

    assertFalse(run(false));
  }

  /** Pattern: a proxy that the store turns away still hears of the replacement from others. */
  @Test
  void proxyThatConfirmsDirectlyIsNotWaitedFor() {
    oldPrimary.reachable = false;
    records.proxies.put(
        OTHER,
        new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), records.storeMillis));
    group.peers =
        (asked, claim) ->
            Optional.of(
                new StopRecord(
                    FakeEndpoint.GROUP,
                    asked,
                    FakeRecords.CONFIRMED.era(),
                    claim.record().round(),
                    false));

    assertTrue(run(false, new DirectExecutor()));
  }

  /** Pattern: a primary fails in a large fleet of which a third is dead, frozen or cut off. */
  @ParameterizedTest
  @ValueSource(ints = {13, 95, 300})
  void absentProxiesThatMayNotUseThePrimaryDelayNothing(int size) {
    oldPrimary.reachable = false;
    for (int number = 0; number < size; number++) {
      VmId vm = new VmId("vm-" + number);
      records.proxies.put(vm, new ProxyRecord(FakeMember.on(vm), Set.of(), records.storeMillis));
    }
    Instant start = proxy.clock.instant();
    // Background work advances the clock once the promotion is done.
    AtomicReference<Instant> promotedAt = new AtomicReference<>();
    group.promotionListener = () -> promotedAt.set(proxy.clock.instant());

    assertTrue(run(false));

    Duration gap = Duration.between(start, promotedAt.get());
    assertTrue(gap.toMillis() < MAX_MEDIAN_GAP_MILLIS, "gap: " + gap);
  }

  @Test
  void fencingByAnotherProxyIsSufficient() {
    oldPrimary.reachable = false;
    records.proxies.put(
        OTHER,
        new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), records.storeMillis));
    records.proxies.put(
        new VmId("frozen"),
        new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), records.storeMillis));
    records.stops.add(
        new StopRecord(FakeEndpoint.GROUP, OTHER, FakeRecords.CONFIRMED.era(), 1, true));

    assertTrue(run(false));
  }

  /** Guards against: the store has lost the lease of a proxy that still uses the old primary. */
  @Test
  void leasesThatTheStoreMayHaveLostAreWaitedFor() {
    oldPrimary.reachable = false;
    confirm(records.storeMillis - ProxyLease.SHORT_DURATION.toMillis());

    assertFalse(run(false));

    assertEquals(List.of(), group.requests);
  }

  @Test
  void leasesThatTheStoreMayHaveLostAreNotWaitedForOnceTheyHaveExpired() {
    oldPrimary.reachable = false;
    confirm(records.storeMillis - SHORT_LEASE_MILLIS - 1);

    assertTrue(run(false));
  }

  /**
   * Pattern: a primary leaves soon after the store came back; it is fenced, so nobody can use it.
   */
  @Test
  void fencedPrimaryIsReplacedWithoutWaitingForLostLeases() {
    confirm(records.storeMillis);

    assertTrue(run(true));
  }

  /**
   * Guards against: the copy has an earlier renewal than the last one of a proxy that is cut off.
   */
  @Test
  void leaseWhoseLastRenewalsTheStoreHasLostIsWaitedFor() {
    oldPrimary.reachable = false;
    long returnSeenAt = records.storeMillis - SHORT_LEASE_MILLIS - 1;
    long renewedAt = returnSeenAt - ProxyLease.DURATION.toMillis();
    records.proxies.put(
        OTHER, new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), renewedAt));
    confirm(returnSeenAt);

    assertFalse(run(false));
  }

  @Test
  void leaseThatHadExpiredBeforeAnyCopyIsNotWaitedFor() {
    oldPrimary.reachable = false;
    long returnSeenAt = records.storeMillis - SHORT_LEASE_MILLIS - 1;
    long renewedAt =
        returnSeenAt
            - GrantedAccess.MAX_COPY_AGE.toMillis()
            - ProxyLease.DURATION.plus(ProxyLease.EXPIRY_MARGIN).toMillis()
            - 1;
    records.proxies.put(
        OTHER, new ProxyRecord(FakeMember.on(OTHER), Set.of(FakeEndpoint.GROUP), renewedAt));
    confirm(returnSeenAt);

    assertTrue(run(false));
  }

  @Test
  void replacementClaimedByAnotherProxyIsNotStarted() {
    RecordedPrimary seen = records.primary.orElseThrow();
    records.writePrimary(
        seen.record().withReplacement(new Replacement(OTHER, true)), seen.version());

    assertFalse(new PrimaryReplacement(dependencies(executor), seen).run(true));

    assertEquals(List.of(), group.requests);
  }

  @Test
  void promotionRequestedByAnEarlierHolderIsRecordedAndNotRepeated() {
    replica.role = EndpointRole.PRIMARY;
    replica.term = new Term(2);

    assertTrue(run(true));

    // The old primary is fenced again in the background, so only promotions are counted.
    assertFalse(group.requests.stream().anyMatch(request -> request.startsWith("promote")));
    assertEquals(Optional.of(replica.id()), records.primary.orElseThrow().record().primary());
  }

  /** Guards against an outdated token: the holder froze while it renewed its claim. */
  @Test
  void promotionIsNotRequestedUnderClaimThatIsOldAfterItsRenewal() {
    freezeDuringRenewal(() -> proxy.clock.advance(FREEZE));

    assertFalse(run(true));

    assertEquals(List.of(), promotions());
  }

  /** Guards against the same if the machine was suspended, which its monotonic clock hides. */
  @Test
  void promotionIsNotRequestedUnderClaimFromBeforeSuspension() {
    freezeDuringRenewal(() -> proxy.aheadBy.advance(FREEZE));

    assertFalse(run(true));

    assertEquals(List.of(), promotions());
  }

  /** Guards against the same if the holder froze as it opened the connection for its request. */
  @Test
  void promotionIsNotSentOnceItsClaimIsOld() {
    group.whileConnecting =
        () -> {
          proxy.clock.advance(FREEZE);
          takeOver();
        };

    assertFalse(run(true));

    assertEquals(List.of(), promotions());
  }

  @Test
  void promotionIsRequestedAgainUnderRenewedClaim() {
    group.whileConnecting =
        () -> {
          group.whileConnecting = () -> {};
          proxy.clock.advance(FREEZE);
        };

    assertTrue(run(true));

    assertEquals(1, promotions().size());
  }

  /** The holder freezes when it renews its claim; another proxy then takes the claim over. */
  private void freezeDuringRenewal(Runnable freeze) {
    group.unavailable = true;
    records.beforeAnswer =
        () -> {
          if (records.written.size() < RECORDS_WITH_FIRST_RENEWAL) {
            return;
          }
          records.beforeAnswer = () -> {};
          group.unavailable = false;
          freeze.run();
          takeOver();
        };
  }

  private void takeOver() {
    RecordedPrimary seen = records.primary.orElseThrow();
    records.writePrimary(
        seen.record().withReplacement(new Replacement(OTHER, true)), seen.version());
  }

  /** Returns the promotions; the old primary is fenced in the background. */
  private List<String> promotions() {
    return group.requests.stream().filter(request -> request.startsWith("promote")).toList();
  }

  /** Confirms the record as after a return of the store from an older copy. */
  private void confirm(long returnSeenAt) {
    RecordedPrimary seen = records.primary.orElseThrow();
    Confirmation confirmation = new Confirmation(FakeRecords.CONFIRMED.era(), returnSeenAt);
    records.writePrimary(seen.record().withConfirmation(confirmation), seen.version());
  }

  private boolean run(boolean planned) {
    return run(planned, executor);
  }

  private boolean run(boolean planned, ExecutorService tasks) {
    return new PrimaryReplacement(dependencies(tasks), records.primary.orElseThrow()).run(planned);
  }

  private FailoverDependencies dependencies(ExecutorService tasks) {
    return group.dependencies(
        SELF, proxy, records, records.eras, new PrimaryRecords(_ -> {}), tasks);
  }
}

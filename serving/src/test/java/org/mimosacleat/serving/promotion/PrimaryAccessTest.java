package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.FakeMember;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.routing.SuspensionDetector;
import org.mimosacleat.serving.routing.TargetChooser;
import org.mimosacleat.serving.version.StoreVersion;

class PrimaryAccessTest {
  private static final VmId SELF = new VmId("self");
  private static final VmId OTHER = new VmId("other");

  private final ServingFixture proxy = new ServingFixture();
  private final PausedClock wallClock = new PausedClock();
  private final FakeRecords shared = new FakeRecords(proxy.clock);
  private final ProxyLease lease =
      new ProxyLease(FakeMember.on(SELF), shared, shared.eras, proxy.clock, wallClock);
  private final PrimaryAccess access =
      new PrimaryAccess(
          lease, shared, new PrimaryRecords(_ -> {}), proxy.groupStates, proxy.fleet, proxy.clock);

  @BeforeEach
  void record() {
    shared.writePrimary(
        new PrimaryRecord(
            FakeEndpoint.GROUP,
            Optional.of(proxy.primary.id()),
            new Term(1),
            0,
            Optional.empty(),
            FakeRecords.CONFIRMED),
        StoreVersion.absent(FakeRecords.CONFIRMED.era()));
  }

  @Test
  void isGrantedOnceTheLeaseRecordNamesTheGroup() {
    assertFalse(access.isGranted(FakeEndpoint.GROUP));

    access.renew();

    assertTrue(access.isGranted(FakeEndpoint.GROUP));
    assertEquals(Optional.of(Set.of(FakeEndpoint.GROUP)), shared.proxies.get(SELF).groups());
  }

  /** Pattern: the answer to a renewal is lost, and the store performs it seconds later. */
  @Test
  void renewalThatIsPerformedLateDoesNotReplaceRecordThatNamesMoreGroups() {
    access.renew();
    shared.losesNextAnswer = true;
    access.renew();
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();

    shared.performLateWrite();

    assertTrue(access.isGranted(FakeEndpoint.GROUP));
    assertTrue(shared.proxies.get(SELF).mayUsePrimaryOf(FakeEndpoint.GROUP));
  }

  @Test
  void isNotGrantedWhileTheStoreIsDown() {
    access.renew();
    shared.down = true;
    access.request(Set.of(FakeEndpoint.GROUP));

    access.renew();

    assertFalse(access.isGranted(FakeEndpoint.GROUP));
  }

  @Test
  void replacementThatStartedBeforeIsFollowed() {
    claim();
    access.request(Set.of(FakeEndpoint.GROUP));

    access.renew();

    assertTrue(access.isGranted(FakeEndpoint.GROUP));
    assertEquals(Optional.empty(), proxy.groupState().primary());
  }

  @Test
  void recordsAreReadAgainAfterTheLeaseWasLost() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    wallClock.advance(Duration.ofSeconds(20));
    assertFalse(access.isGranted(FakeEndpoint.GROUP));
    claim();

    access.renew();

    assertEquals(Optional.empty(), proxy.groupState().primary());
  }

  /**
   * Guards against: a former primary acknowledges a commit after a promotion, and the answer
   * arrives once the lease is renewed, while the new primary is not recorded yet.
   */
  @Test
  void answersAreNotReliedOnIfTheReplacementBeganAfterTheLeaseWasLost() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    assertTrue(isStillPrimary(proxy.primary));
    wallClock.advance(Duration.ofSeconds(20));
    claim();

    access.renew();

    assertTrue(access.isGranted(FakeEndpoint.GROUP));
    assertFalse(isStillPrimary(proxy.primary));
  }

  /** The replacement waits for this proxy, so what is answered before that is not lost. */
  @Test
  void answersAreReliedOnIfTheReplacementBeganDuringTheLease() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    claim();
    shared.primary.orElseThrow().applyTo(proxy.groupState());

    access.renew();

    assertTrue(isStillPrimary(proxy.primary));
  }

  @Test
  void answersOfTheNextPrimaryAreReliedOn() {
    claim();
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    RecordedPrimary claimed = shared.primary.orElseThrow();
    shared.writePrimary(
        claimed.record().withPrimary(proxy.replica.id(), new Term(2), proxy.replica.position()),
        claimed.version());

    shared.primary.orElseThrow().applyTo(proxy.groupState());

    assertTrue(isStillPrimary(proxy.replica));
  }

  private boolean isStillPrimary(FakeEndpoint endpoint) {
    TargetChooser chooser =
        new TargetChooser(
            proxy.fleet,
            proxy.pools,
            proxy.groupStates,
            access::isGranted,
            new SuspensionDetector(proxy.clock, wallClock),
            new Random(1));
    return chooser.isStillPrimary(
        proxy.pools.find(endpoint.id()).orElseThrow(), FakeEndpoint.GROUP);
  }

  @Test
  void olderRecordDoesNotEndPause() {
    RecordedPrimary before = shared.primary.orElseThrow();
    claim();
    shared.primary.orElseThrow().applyTo(proxy.groupState());

    before.applyTo(proxy.groupState());

    assertEquals(Optional.empty(), proxy.groupState().primary());
  }

  /** Guards against: a proxy begins to use a former primary by a record from an older copy. */
  @Test
  void isNotGrantedByRecordThatMayNotBeTheLatest() {
    shared.copy();
    shared.comeBackFromCopy();
    access.request(Set.of(FakeEndpoint.GROUP));

    access.renew();

    assertFalse(access.isGranted(FakeEndpoint.GROUP));
  }

  @Test
  void isGrantedOnceTheRecordIsConfirmed() {
    shared.copy();
    shared.comeBackFromCopy();
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    confirm();

    access.renew();

    assertTrue(access.isGranted(FakeEndpoint.GROUP));
  }

  /** Pattern: the store comes back while this proxy uses a primary; no request has to wait. */
  @Test
  void staysGrantedWhileTheLeaseIsHeldOverReturnOfTheStore() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    shared.copy();
    shared.comeBackFromCopy();

    access.renew();

    assertTrue(access.isGranted(FakeEndpoint.GROUP));
  }

  /** Guards against: each statement that finds no access makes the proxy read the store again. */
  @Test
  void requestsThatWaitForConfirmedRecordAreNotRepeated() {
    shared.copy();
    shared.comeBackFromCopy();
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();

    access.isGranted(FakeEndpoint.GROUP);

    assertEquals(0, access.pendingRequests().availablePermits());
    confirm();
    access.recordChanged(shared.primary.orElseThrow());
    assertEquals(1, access.pendingRequests().availablePermits());
  }

  /** Guards against: access that the store has lost lasts while nobody waits for this proxy. */
  @Test
  void youngAccessEndsSoonAfterTheLastRenewal() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();

    advance(ProxyLease.SHORT_DURATION);

    assertFalse(access.isGranted(FakeEndpoint.GROUP));
  }

  /** Guards against: a primary that was replaced meanwhile is used when the lease is renewed. */
  @Test
  void lapsedYoungAccessIsGrantedOnlyByRecordsReadAnew() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    advance(ProxyLease.SHORT_DURATION);
    claim();

    access.renew();

    assertEquals(Optional.empty(), proxy.groupState().primary());
  }

  /** Guards against: access that has lapsed counts as old once the time for that has passed. */
  @Test
  void lapsedYoungAccessDoesNotComeBackByItsAge() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    for (int renewal = 0; renewal < 4; renewal++) {
      advance(Duration.ofSeconds(2));
      access.renew();
    }

    advance(ProxyLease.SHORT_DURATION);

    assertFalse(access.isGranted(FakeEndpoint.GROUP));
  }

  /** Pattern: the store is away for long; proxies that have had access for a while go on. */
  @Test
  void accessOlderThanAnyCopyLastsAsLongAsTheLease() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    for (int renewal = 0; renewal < 8; renewal++) {
      advance(Duration.ofSeconds(2));
      access.renew();
    }

    advance(ProxyLease.DURATION.minusMillis(1));

    assertTrue(access.isGranted(FakeEndpoint.GROUP));
  }

  @Test
  void youngAccessIsYoungAnewAfterTheStoreCameBack() {
    access.request(Set.of(FakeEndpoint.GROUP));
    access.renew();
    for (int renewal = 0; renewal < 4; renewal++) {
      advance(Duration.ofSeconds(2));
      access.renew();
    }
    shared.copy();
    shared.comeBackFromCopy();
    access.renew();
    advance(Duration.ofSeconds(2));

    assertTrue(access.isYoung());
  }

  private void advance(Duration time) {
    proxy.clock.advance(time);
    wallClock.advance(time);
    shared.storeMillis += time.toMillis();
  }

  private void confirm() {
    RecordedPrimary seen = shared.primary.orElseThrow();
    Confirmation confirmation = new Confirmation(shared.eras.current(), shared.storeMillis);
    shared.writePrimary(seen.record().withConfirmation(confirmation), seen.version());
  }

  private void claim() {
    RecordedPrimary seen = shared.primary.orElseThrow();
    shared.writePrimary(
        seen.record().withReplacement(new Replacement(OTHER, false)), seen.version());
  }
}

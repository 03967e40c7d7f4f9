package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.FakeMember;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;

class GroupFailoverControllerTest {
  private static final VmId SELF = new VmId("self");
  private static final VmId OTHER = new VmId("other");
  private static final Optional<String> NO_SUSPICION = Optional.empty();
  private static final Optional<String> SUSPICION = Optional.of("no answer");

  private final ServingFixture proxy = new ServingFixture();
  private final FakeGroup group = new FakeGroup(List.of(proxy.primary, proxy.replica));
  private final FakeRecords shared = new FakeRecords(proxy.clock);
  private final PrimaryRecords records = new PrimaryRecords(_ -> {});
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final FailoverDependencies dependencies = dependencies();
  private final GroupFailoverController controller =
      new GroupFailoverController(FakeEndpoint.GROUP, dependencies);

  @BeforeEach
  void record() {
    write(
        new PrimaryRecord(
            FakeEndpoint.GROUP,
            Optional.of(proxy.primary.id()),
            new Term(1),
            0,
            Optional.empty(),
            FakeRecords.CONFIRMED));
    shared.proxies.put(
        SELF, new ProxyRecord(FakeMember.on(SELF), Set.of(FakeEndpoint.GROUP), shared.storeMillis));
  }

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  @Test
  void drainingPrimaryIsReplaced() {
    proxy.pools.put(proxy.primary.entry(true));

    controller.evaluate(NO_SUSPICION);

    assertEquals(Optional.of(proxy.replica.id()), primary());
  }

  @Test
  void drainingPrimaryStaysInUseWhileNoOtherEndpointAnswers() {
    proxy.pools.put(proxy.primary.entry(true));
    proxy.replica.reachable = false;

    controller.evaluate(NO_SUSPICION);

    assertEquals(List.of(), group.requests);
    assertEquals(Optional.of(proxy.primary.id()), proxy.groupState().primary());
  }

  @Test
  void suspectedPrimaryThatAnswersIsNotReplaced() {
    controller.evaluate(SUSPICION);

    assertEquals(List.of(), group.requests);
  }

  /** Pattern: the primary is dark, and all its gateways have to confirm that they stopped. */
  @Test
  @Timeout(5)
  void stopDoesNotWaitForPrimaryThatDoesNotAnswer() {
    group.demotionStart = new CountDownLatch(1);
    PrimaryRecord claim =
        shared.primary.orElseThrow().record().withReplacement(new Replacement(SELF, false));

    assertFalse(
        controller.stopUsingPrimaryNow(new RecordedPrimary(claim, version(Long.MAX_VALUE))));

    assertEquals(Optional.empty(), proxy.groupState().primary());
    group.demotionStart.countDown();
  }

  @Test
  void proxyThatReachesNoEndpointReplacesNothing() {
    proxy.primary.reachable = false;
    proxy.replica.reachable = false;

    controller.evaluate(SUSPICION);

    assertEquals(List.of(), group.requests);
    assertEquals(1, shared.written.size());
  }

  @Test
  void primaryOfLaterTermIsUsedEvenIfNotRecorded() {
    shared.down = true;
    proxy.primary.role = EndpointRole.REPLICA;
    proxy.replica.role = EndpointRole.PRIMARY;
    proxy.replica.term = new Term(2);

    controller.evaluate(SUSPICION);

    assertEquals(Optional.of(proxy.replica.id()), proxy.groupState().primary());
  }

  /** Pattern: the primary is dark while the store is away, so that nobody can replace it. */
  @Test
  void primaryThatCanNotBeReplacedIsUsedAgainOnceItAnswers() {
    shared.down = true;
    proxy.primary.reachable = false;
    controller.evaluate(SUSPICION);
    assertEquals(Optional.empty(), proxy.groupState().primary());
    controller.evaluate(NO_SUSPICION);
    assertEquals(Optional.empty(), proxy.groupState().primary());

    proxy.primary.reachable = true;
    controller.evaluate(NO_SUSPICION);

    assertEquals(Optional.of(proxy.primary.id()), proxy.groupState().primary());
  }

  @Test
  void stopOfUnreachablePrimaryIsRecordedDuringItsReplacement() {
    proxy.primary.reachable = false;
    write(recorded().withReplacement(new Replacement(OTHER, false)));

    controller.evaluate(NO_SUSPICION);

    assertEquals(Optional.empty(), proxy.groupState().primary());
    assertEquals(
        List.of(new StopRecord(FakeEndpoint.GROUP, SELF, shared.eras.current(), 1, false)),
        shared.stops);
  }

  @Test
  void reachablePrimaryIsFencedDuringItsReplacement() {
    write(recorded().withReplacement(new Replacement(OTHER, false)));

    controller.evaluate(NO_SUSPICION);

    assertTrue(shared.stops.getFirst().fenced());
    assertEquals(EndpointRole.REPLICA, proxy.primary.role);
  }

  @Test
  void stalledReplacementIsTakenOver() {
    write(recorded().withReplacement(new Replacement(OTHER, true)));
    controller.evaluate(NO_SUSPICION);
    assertEquals(List.of(), group.requests);

    proxy.clock.advance(Duration.ofSeconds(4));
    controller.evaluate(NO_SUSPICION);

    assertEquals(Optional.of(proxy.replica.id()), primary());
  }

  /** Guards against: records that the store has lost block every later replacement. */
  @Test
  void drainingPrimaryIsReplacedAfterTheStoreCameBackFromAnOlderCopy() {
    dependencies.access().renew();
    shared.copy();
    promoteReplica();
    shared.comeBackFromCopy();
    evaluateFor(Duration.ofSeconds(4));

    proxy.pools.put(proxy.replica.entry(true));
    evaluateFor(Duration.ofSeconds(4));

    assertEquals(Optional.of(proxy.primary.id()), primary());
    assertEquals(new Term(3), recorded().term());
  }

  /**
   * Guards against: a claim on a record of an older copy is confirmed while a later primary is
   * used.
   */
  @Test
  void stopIsNotConfirmedForClaimOnEarlierRecordThanKnown() {
    promoteReplica();
    PrimaryRecord former = shared.written.getFirst();
    RecordedPrimary claim =
        new RecordedPrimary(
            former.withReplacement(new Replacement(OTHER, false)),
            new StoreVersion(new StoreEra(2), 40));

    StopResult result = new GroupFailoverControllers(dependencies).stopUsingPrimary(claim);

    assertEquals(StopResult.CLAIM_OUTDATED, result);
    assertEquals(Optional.of(proxy.replica.id()), proxy.groupState().primary());
  }

  /** Pattern: the store comes back while a primary is being replaced, whose holder can't go on. */
  @Test
  void interruptedReplacementIsTakenOverAfterTheStoreCameBack() {
    dependencies.access().renew();
    shared.copy();
    write(recorded().withReplacement(new Replacement(OTHER, true)));
    controller.evaluate(NO_SUSPICION);
    shared.comeBackFromCopy();

    evaluateFor(Duration.ofSeconds(3));

    assertEquals(Optional.of(proxy.replica.id()), primary());
  }

  /** Pattern: all proxies start anew after the store came back; no one remembers the record. */
  @Test
  void endpointsAreAskedIfNoProxyHasHadAccessAllAlong() {
    shared.copy();
    shared.comeBackFromCopy();
    proxy.primary.role = EndpointRole.REPLICA;
    proxy.replica.role = EndpointRole.PRIMARY;
    proxy.replica.term = new Term(2);

    evaluateFor(Duration.ofSeconds(5));

    assertEquals(Optional.of(proxy.replica.id()), primary());
    assertTrue(recorded().isConfirmedIn(shared.eras.current()));
  }

  private void promoteReplica() {
    proxy.primary.role = EndpointRole.REPLICA;
    proxy.replica.role = EndpointRole.PRIMARY;
    proxy.replica.term = new Term(2);
    write(recorded().withReplacement(new Replacement(OTHER, true)));
    write(recorded().withPrimary(proxy.replica.id(), proxy.replica.term, proxy.replica.position()));
    controller.evaluate(NO_SUSPICION);
  }

  /** Renews the lease, evaluates the group and reads its record at the usual intervals. */
  private void evaluateFor(Duration time) {
    Instant end = proxy.clock.instant().plus(time);
    while (proxy.clock.instant().isBefore(end)) {
      dependencies.access().renew();
      records.put(shared.primary.orElseThrow());
      controller.evaluate(NO_SUSPICION);
      proxy.clock.advance(Duration.ofMillis(500));
    }
  }

  private void write(PrimaryRecord record) {
    StoreVersion before = shared.primary.map(RecordedPrimary::version).orElse(version(0));
    StoreVersion written = shared.writePrimary(record, before).get();
    records.put(new RecordedPrimary(record, written));
  }

  private StoreVersion version(long number) {
    return new StoreVersion(shared.eras.current(), number);
  }

  private PrimaryRecord recorded() {
    return shared.primary.orElseThrow().record();
  }

  private Optional<EndpointId> primary() {
    return recorded().primary();
  }

  private FailoverDependencies dependencies() {
    return group.dependencies(SELF, proxy, shared, shared.eras, records, executor);
  }
}

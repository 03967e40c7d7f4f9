package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.EndpointRole;

class GroupGuardTest {
  private static final VmId SELF = new VmId("self");
  private static final VmId OTHER = new VmId("other");
  private static final Optional<String> NO_DOUBT = Optional.empty();
  private static final Optional<String> DOUBT = Optional.of("no answer");

  private final ServingFixture proxy = new ServingFixture();
  private final FakeGroup group = new FakeGroup(List.of(proxy.primary, proxy.replica));
  private final FakeRecords shared = new FakeRecords();
  private final PrimaryRecords records = new PrimaryRecords(_ -> {});
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final GroupGuard guard = new GroupGuard(FakeEndpoint.GROUP, parts());

  @BeforeEach
  void record() {
    write(
        new PrimaryRecord(
            FakeEndpoint.GROUP, Optional.of(proxy.primary.id()), new Term(1), 0, Optional.empty()));
    shared.proxies.put(SELF, new ProxyRecord(SELF, shared.storeMillis));
  }

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  @Test
  void drainingPrimaryIsReplaced() {
    proxy.pools.put(proxy.primary.entry(true));

    guard.evaluate(NO_DOUBT);

    assertEquals(Optional.of(proxy.replica.id()), primary());
  }

  @Test
  void drainingPrimaryServesOnWhileNoOtherEndpointAnswers() {
    proxy.pools.put(proxy.primary.entry(true));
    proxy.replica.reachable = false;

    guard.evaluate(NO_DOUBT);

    assertEquals(List.of(), group.orders);
    assertEquals(Optional.of(proxy.primary.id()), proxy.view().primary());
  }

  @Test
  void doubtedPrimaryThatAnswersStays() {
    guard.evaluate(DOUBT);

    assertEquals(List.of(), group.orders);
  }

  @Test
  void proxyThatReachesNoEndpointReplacesNothing() {
    proxy.primary.reachable = false;
    proxy.replica.reachable = false;

    guard.evaluate(DOUBT);

    assertEquals(List.of(), group.orders);
    assertEquals(1, shared.written.size());
  }

  @Test
  void laterLeaderIsFollowedThoughNoRecordTellsOfIt() {
    shared.down = true;
    proxy.primary.role = EndpointRole.REPLICA;
    proxy.replica.role = EndpointRole.PRIMARY;
    proxy.replica.term = new Term(2);

    guard.evaluate(DOUBT);

    assertEquals(Optional.of(proxy.replica.id()), proxy.view().primary());
  }

  @Test
  void useOfPrimaryStopsWhileItIsReplacedAndTheOthersLearnOfIt() {
    proxy.primary.reachable = false;
    write(recorded().replacedBy(new Replacement(OTHER, false)));

    guard.evaluate(NO_DOUBT);

    assertEquals(Optional.empty(), proxy.view().primary());
    assertEquals(List.of(new StopRecord(FakeEndpoint.GROUP, SELF, 1, false)), shared.stops);
  }

  @Test
  void primaryThatThisProxyReachesIsFencedForTheOthers() {
    write(recorded().replacedBy(new Replacement(OTHER, false)));

    guard.evaluate(NO_DOUBT);

    assertTrue(shared.stops.getFirst().fenced());
    assertEquals(EndpointRole.REPLICA, proxy.primary.role);
  }

  @Test
  void replacementThatStandsStillIsTakenOver() {
    write(recorded().replacedBy(new Replacement(OTHER, true)));
    guard.evaluate(NO_DOUBT);
    assertEquals(List.of(), group.orders);

    proxy.clock.advance(Duration.ofSeconds(4));
    guard.evaluate(NO_DOUBT);

    assertEquals(Optional.of(proxy.replica.id()), primary());
  }

  private void write(PrimaryRecord record) {
    long version = shared.primary.map(RecordedPrimary::version).orElse(0L);
    long written = shared.writePrimary(record, version).get();
    records.put(new RecordedPrimary(record, written));
  }

  private PrimaryRecord recorded() {
    return shared.primary.orElseThrow().record();
  }

  private Optional<EndpointId> primary() {
    return recorded().primary();
  }

  private GuardParts parts() {
    return group.parts(SELF, proxy, shared, records, executor);
  }
}

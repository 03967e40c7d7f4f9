package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.FakeMember;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.version.StoreVersion;

/** An unexpected exception must not end a task that the proxy depends on until it stops. */
@Timeout(30)
class UnexpectedFailureTest {
  private static final VmId SELF = new VmId("self");
  private static final Duration PATIENCE = Duration.ofSeconds(15);

  private final ServingFixture proxy = new ServingFixture();
  private final FakeGroup group = new FakeGroup(List.of(proxy.primary, proxy.replica));
  private final FakeRecords shared = new FakeRecords(proxy.clock);
  private final PrimaryRecords records = new PrimaryRecords(_ -> {});
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    Instant end = Instant.now().plus(PATIENCE);
    while (!condition.getAsBoolean() && Instant.now().isBefore(end)) {
      Thread.sleep(20);
    }
    assertTrue(condition.getAsBoolean());
  }

  private static IllegalStateException once(AtomicBoolean thrown) {
    thrown.set(true);
    return new IllegalStateException("scripted");
  }

  /** Guards against a group whose failover ends at this proxy after one unexpected exception. */
  @Test
  void failoverOfGroupGoesOn() throws InterruptedException {
    PrimaryRecord record =
        new PrimaryRecord(
            FakeEndpoint.GROUP,
            Optional.of(proxy.primary.id()),
            new Term(1),
            0,
            Optional.empty(),
            FakeRecords.CONFIRMED);
    shared.writePrimary(record, StoreVersion.absent(FakeRecords.CONFIRMED.era()));
    records.put(shared.primary.orElseThrow());
    AtomicBoolean thrown = new AtomicBoolean();
    group.beforeStatus =
        () -> {
          if (!thrown.get()) {
            throw once(thrown);
          }
        };
    FailoverDependencies dependencies =
        group.dependencies(SELF, proxy, shared, shared.eras, records, executor);
    GroupFailoverController controller =
        new GroupFailoverController(FakeEndpoint.GROUP, dependencies);
    executor.execute(controller);
    controller.suspectPrimary("no answer");
    await(thrown::get);

    proxy.pools.put(proxy.primary.entry(true));
    controller.wake();

    await(() -> records.find(FakeEndpoint.GROUP).orElseThrow().record().term().number() == 2);
    assertEquals(Optional.of(proxy.replica.id()), shared.primary.orElseThrow().record().primary());
  }

  /** Guards against a lease that is never renewed again after one unexpected exception. */
  @Test
  void leaseIsRenewed() throws InterruptedException {
    ProxyLease lease =
        new ProxyLease(FakeMember.on(SELF), shared, shared.eras, proxy.clock, proxy.clock);
    PrimaryAccess access =
        new PrimaryAccess(lease, shared, records, proxy.groupStates, proxy.fleet, proxy.clock);
    AtomicBoolean thrown = new AtomicBoolean();
    LeaseRenewer renewer =
        new LeaseRenewer(
            lease,
            access,
            _ -> {
              throw once(thrown);
            },
            proxy.clock::advance,
            FakeBatches.failing(RecordFailure.NOT_DONE));
    executor.execute(renewer);

    await(() -> thrown.get() && lease.isHeld());
  }
}

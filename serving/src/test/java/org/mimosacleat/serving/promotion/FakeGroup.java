package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.function.BooleanSupplier;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.FakeMember;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.version.StoreEras;

/** In-memory endpoints that can be queried, demoted and promoted. */
final class FakeGroup implements EndpointAdministration, PromotionClient {
  final List<FakeEndpoint> endpoints;
  PeerStops peers = PeerStops.NONE;
  Runnable promotionListener = () -> {};

  /** Runs before each promotion request is sent. */
  Runnable whileConnecting = () -> {};

  /** Promotions are not taken. */
  boolean unavailable;

  /** Runs before each status query. */
  Runnable beforeStatus = () -> {};

  /** Demotions wait for it. */
  CountDownLatch demotionStart = new CountDownLatch(0);

  final List<String> requests = new CopyOnWriteArrayList<>();

  FakeGroup(List<FakeEndpoint> endpoints) {
    this.endpoints = endpoints;
  }

  static PrimaryAccess access(
      VmId self,
      ServingFixture proxy,
      SharedRecords shared,
      StoreEras eras,
      PrimaryRecords records) {
    ProxyLease lease = new ProxyLease(FakeMember.on(self), shared, eras, proxy.clock, proxy.clock);
    PrimaryAccess access =
        new PrimaryAccess(lease, shared, records, proxy.groupStates, proxy.fleet, proxy.clock);
    access.request(Set.of(FakeEndpoint.GROUP));
    return access;
  }

  /** Returns dependencies that use a proxy's fleet and pools and administer these endpoints. */
  FailoverDependencies dependencies(
      VmId self,
      ServingFixture proxy,
      SharedRecords shared,
      StoreEras eras,
      PrimaryRecords records,
      ExecutorService executor) {
    return new FailoverDependencies(
        self,
        proxy.fleet,
        proxy.pools,
        proxy.groupStates,
        shared,
        access(self, proxy, shared, eras, records),
        _ -> true,
        peers,
        records,
        this,
        this,
        executor,
        eras,
        proxy.clock,
        proxy.wallClock,
        new Random(1),
        proxy.clock::advance);
  }

  @Override
  public Either<Failure, EndpointStatus> status(EndpointEntry entry) {
    beforeStatus.run();
    FakeEndpoint endpoint = find(entry.id());
    return endpoint.reachable
        ? Either.right(new EndpointStatus(endpoint.role, endpoint.term, endpoint.position()))
        : Either.left(new Failure(ErrorKind.UNAVAILABLE, "unreachable"));
  }

  @Override
  public Either<Failure, EndpointStatus> demote(EndpointEntry entry, Term term) {
    await(demotionStart);
    FakeEndpoint endpoint = find(entry.id());
    if (endpoint.reachable && term.isAfter(endpoint.term)) {
      endpoint.role = EndpointRole.REPLICA;
      requests.add("demote " + entry.id());
    }
    return status(entry);
  }

  @Override
  public Result promote(
      GroupId group, EndpointId id, VmId holder, long token, BooleanSupplier maySend) {
    if (unavailable) {
      return Result.NOT_TAKEN;
    }
    whileConnecting.run();
    if (!maySend.getAsBoolean()) {
      return Result.NOT_TAKEN;
    }
    FakeEndpoint endpoint = find(id);
    endpoint.role = EndpointRole.PRIMARY;
    endpoint.term = latestTerm().next();
    promotionListener.run();
    requests.add("promote " + id + " by " + holder + " token " + token);
    return Result.TAKEN;
  }

  private Term latestTerm() {
    return endpoints.stream().map(endpoint -> endpoint.term).max(Term::compareTo).orElseThrow();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private FakeEndpoint find(EndpointId id) {
    return endpoints.stream().filter(known -> known.id().equals(id)).findFirst().orElseThrow();
  }
}

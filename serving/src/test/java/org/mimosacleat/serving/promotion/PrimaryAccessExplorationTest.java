package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.FakeMember;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.version.StoreEras;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * Explores all orders in which a proxy that gains access to a primary and a proxy that replaces
 * this primary make their calls to the shared records. Never may the first use the primary while
 * the second takes it as unused.
 */
class PrimaryAccessExplorationTest {
  private static final VmId USER = new VmId("user");
  private static final VmId REPLACER = new VmId("replacer");

  /** Calls of the user: list of proxies, renewal, records of primaries. */
  private static final int USER_CALLS = 3;

  /** Calls of the replacer: claim, list of proxies, stop records. */
  private static final int REPLACER_CALLS = 3;

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  @Test
  void noOrderLetsProxyUsePrimaryThatIsTakenAsUnused() {
    List<List<Boolean>> orders = orders(USER_CALLS, REPLACER_CALLS);

    assertEquals(20, orders.size());
    orders.forEach(order -> assertTrue(!isViolated(order, true), "order: " + order));
  }

  @Test
  void explorationFindsReplacerThatListsProxiesBeforeItsClaim() {
    long violations =
        orders(USER_CALLS, REPLACER_CALLS).stream()
            .filter(order -> isViolated(order, false))
            .count();

    assertTrue(violations > 0);
  }

  private boolean isViolated(List<Boolean> order, boolean claimsFirst) {
    ServingFixture proxy = new ServingFixture();
    FakeRecords shared = new FakeRecords(proxy.clock);
    shared.writePrimary(
        new PrimaryRecord(
            FakeEndpoint.GROUP,
            Optional.of(new FakeEndpoint("p", null, 1).id()),
            new Term(1),
            0,
            Optional.empty(),
            FakeRecords.CONFIRMED),
        StoreVersion.absent(FakeRecords.CONFIRMED.era()));
    TurnTakingRecords userRecords = new TurnTakingRecords(shared);
    PrimaryAccess access = access(proxy, userRecords, shared.eras);
    CompletableFuture<Void> user =
        CompletableFuture.runAsync(access::renew, executor).thenRun(userRecords::finish);
    TurnTakingRecords replacerRecords = new TurnTakingRecords(shared);
    CompletableFuture<Boolean> replacer =
        CompletableFuture.supplyAsync(
            () -> takesAsUnused(shared, replacerRecords, claimsFirst), executor);
    replacer.thenRun(replacerRecords::finish);
    for (boolean userNext : order) {
      (userNext ? userRecords : replacerRecords).giveTurn();
    }
    user.join();
    boolean uses = access.isGranted(FakeEndpoint.GROUP) && proxy.groupState().primary().isPresent();
    return uses && replacer.join();
  }

  private static PrimaryAccess access(ServingFixture proxy, SharedRecords records, StoreEras eras) {
    ProxyLease lease = new ProxyLease(FakeMember.on(USER), records, eras, proxy.clock, proxy.clock);
    PrimaryAccess access =
        new PrimaryAccess(
            lease, records, new PrimaryRecords(_ -> {}), proxy.groupStates, proxy.fleet);
    access.request(Set.of(FakeEndpoint.GROUP));
    return access;
  }

  /** Claims the replacement and returns whether no other proxy may use the primary. */
  private boolean takesAsUnused(FakeRecords shared, SharedRecords records, boolean claimsFirst) {
    ServingFixture proxy = new ServingFixture();
    FailoverDependencies dependencies =
        new FakeGroup(List.of())
            .dependencies(
                REPLACER, proxy, records, shared.eras, new PrimaryRecords(_ -> {}), executor);
    PrimaryUsers users = new PrimaryUsers(dependencies, FakeEndpoint.GROUP);
    RecordedPrimary seen = shared.primary.orElseThrow();
    PrimaryRecord next = seen.record().withReplacement(new Replacement(REPLACER, false));
    if (!claimsFirst) {
      boolean unused = users.haveStopped(seen);
      records.writePrimary(next, seen.version());
      return unused;
    }
    StoreVersion version = records.writePrimary(next, seen.version()).get();
    return users.haveStopped(new RecordedPrimary(next, version));
  }

  /** Returns all orders of calls; true stands for a call of the user. */
  private static List<List<Boolean>> orders(int userCalls, int replacerCalls) {
    if (userCalls == 0 && replacerCalls == 0) {
      return List.of(List.of());
    }
    List<List<Boolean>> all = new ArrayList<>();
    if (userCalls > 0) {
      orders(userCalls - 1, replacerCalls).forEach(rest -> all.add(prepended(true, rest)));
    }
    if (replacerCalls > 0) {
      orders(userCalls, replacerCalls - 1).forEach(rest -> all.add(prepended(false, rest)));
    }
    return all;
  }

  private static List<Boolean> prepended(boolean first, List<Boolean> rest) {
    List<Boolean> order = new ArrayList<>(List.of(first));
    order.addAll(rest);
    return order;
  }
}

package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.FakeMember;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.version.StoreEras;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * Explores all orders in which a proxy that gains access to a primary and a proxy that replaces
 * this primary make their calls to the shared records, and in which the store comes back from a
 * copy that was taken before. Never may the first use the primary while the second takes it as
 * unused.
 */
@Timeout(60)
class PrimaryAccessExplorationTest {
  private static final VmId USER = new VmId("user");
  private static final VmId REPLACER = new VmId("replacer");

  /** Calls of the user: list of proxies, renewal, records of primaries. */
  private static final int USER_CALLS = 3;

  /** Calls of the replacer: claim, list of proxies, stop records. */
  private static final int REPLACER_CALLS = 3;

  /** More calls after a return of the store: records of primaries, confirmation, claim. */
  private static final int RECOVERY_CALLS = 3;

  /** Longer than access lasts of which the store has lost the lease. */
  private static final Duration PASSING_TIME = Duration.ofSeconds(7);

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  @Test
  void noOrderLetsProxyUsePrimaryThatIsTakenAsUnused() {
    List<List<Event>> orders = orders(USER_CALLS, REPLACER_CALLS, 0);

    assertEquals(20, orders.size());
    orders.forEach(order -> assertFalse(isViolated(order, Mutant.NONE), "order: " + order));
  }

  /**
   * Guards against: a former primary is used after the store has lost its replacement, or a lease.
   */
  @Test
  void noOrderWithReturnOfOlderCopyLetsProxyUsePrimaryThatIsTakenAsUnused() {
    List<List<Event>> orders = orders(USER_CALLS, REPLACER_CALLS + RECOVERY_CALLS, 1);

    assertEquals(840, orders.size());
    orders.forEach(order -> assertFalse(isViolated(order, Mutant.NONE), "order: " + order));
  }

  @Test
  void noOrderWithTwoReturnsLetsProxyUsePrimaryThatIsTakenAsUnused() {
    List<List<Event>> orders = orders(USER_CALLS, REPLACER_CALLS + RECOVERY_CALLS, 2);

    orders.forEach(order -> assertFalse(isViolated(order, Mutant.NONE), "order: " + order));
  }

  @Test
  void explorationFindsReplacerThatListsProxiesBeforeItsClaim() {
    assertTrue(isFound(Mutant.LISTS_BEFORE_CLAIM, 0));
  }

  @Test
  void explorationFindsUserThatTrustsRecordOfAnOlderCopy() {
    assertTrue(isFound(Mutant.TRUSTS_OLDER_COPY, 1));
  }

  @Test
  void explorationFindsReplacerThatTakesTheListOfAnOlderCopyAsComplete() {
    assertTrue(isFound(Mutant.TRUSTS_LIST_OF_OLDER_COPY, 1));
  }

  /** Guards against: a proxy whose lease the store has lost outlives the wait for it. */
  @Test
  void noOrderWithReturnAndTimeLetsProxyUsePrimaryThatIsTakenAsUnused() {
    ordersWithTime()
        .forEach(order -> assertFalse(isViolated(order, Mutant.NONE), "order: " + order));
  }

  @Test
  void explorationFindsUserThatKeepsYoungAccess() {
    assertTrue(
        ordersWithTime().stream().anyMatch(order -> isViolated(order, Mutant.KEEPS_YOUNG_ACCESS)));
  }

  /** Time passes at any moment of the orders with one return. */
  private static List<List<Event>> ordersWithTime() {
    List<List<Event>> all = new ArrayList<>();
    for (List<Event> order : orders(USER_CALLS, REPLACER_CALLS + RECOVERY_CALLS, 1)) {
      for (int position = 0; position <= order.size(); position++) {
        List<Event> withTime = new ArrayList<>(order);
        withTime.add(position, Event.TIME);
        all.add(withTime);
      }
    }
    return all;
  }

  private boolean isFound(Mutant mutant, int returns) {
    int recovery = returns * RECOVERY_CALLS;
    return orders(USER_CALLS, REPLACER_CALLS + recovery, returns).stream()
        .anyMatch(order -> isViolated(order, mutant));
  }

  private boolean isViolated(List<Event> order, Mutant mutant) {
    ServingFixture proxy = new ServingFixture();
    FakeRecords shared = new FakeRecords(proxy.clock);
    shared.writePrimary(firstRecord(), StoreVersion.absent(FakeRecords.CONFIRMED.era()));
    shared.copy();
    Participant user = new Participant(proxy, shared);
    PrimaryAccess access = access(user, mutant);
    CompletableFuture<Void> gaining =
        CompletableFuture.runAsync(access::renew, executor).thenRun(user.records::finish);
    Participant replacer = new Participant(new ServingFixture(), shared);
    RecordedPrimary seen = shared.primary.orElseThrow();
    CompletableFuture<Boolean> replacing =
        CompletableFuture.supplyAsync(() -> takesAsUnused(replacer, seen, mutant), executor);
    replacing.thenRun(replacer.records::finish);
    for (Event next : order) {
      Runnable step =
          switch (next) {
            case USER -> user.records::giveTurn;
            case REPLACER -> replacer.records::giveTurn;
            case RETURN -> shared::comeBackFromCopy;
            case TIME -> () -> pass(shared, user, replacer);
          };
      step.run();
    }
    gaining.join();
    boolean granted =
        access.isGranted(FakeEndpoint.GROUP)
            || (mutant == Mutant.KEEPS_YOUNG_ACCESS && access.isYoung());
    boolean uses = granted && proxy.groupState().primary().isPresent();
    boolean relies = granted && reliesOnAnswers(proxy);
    return (uses || relies) && replacing.join();
  }

  /** Returns whether an answer to a statement that was sent before is taken as the primary's. */
  private static boolean reliesOnAnswers(ServingFixture proxy) {
    return proxy.chooser.isStillPrimary(
        proxy.pools.find(proxy.primary.id()).orElseThrow(), FakeEndpoint.GROUP);
  }

  private static PrimaryRecord firstRecord() {
    return new PrimaryRecord(
        FakeEndpoint.GROUP,
        Optional.of(new FakeEndpoint("p", null, 1).id()),
        new Term(1),
        0,
        Optional.empty(),
        FakeRecords.CONFIRMED);
  }

  private static PrimaryAccess access(Participant user, Mutant mutant) {
    SharedRecords records =
        mutant == Mutant.TRUSTS_OLDER_COPY ? new TrustingRecords(user.records) : user.records;
    ServingFixture proxy = user.proxy;
    ProxyLease lease =
        new ProxyLease(FakeMember.on(USER), records, user.eras, proxy.clock, proxy.clock);
    PrimaryAccess access =
        new PrimaryAccess(
            lease,
            records,
            new PrimaryRecords(_ -> {}),
            proxy.groupStates,
            proxy.fleet,
            proxy.clock);
    access.request(Set.of(FakeEndpoint.GROUP));
    return access;
  }

  /** Claims the replacement and returns whether no other proxy may use the primary. */
  private boolean takesAsUnused(Participant replacer, RecordedPrimary seen, Mutant mutant) {
    PrimaryRecords known = new PrimaryRecords(_ -> {});
    known.put(seen);
    FailoverDependencies dependencies =
        new FakeGroup(List.of())
            .dependencies(
                REPLACER, replacer.proxy, replacer.records, replacer.eras, known, executor);
    PrimaryUsers users = new PrimaryUsers(dependencies, FakeEndpoint.GROUP);
    if (mutant == Mutant.LISTS_BEFORE_CLAIM) {
      return users.haveStopped(seen) && claim(replacer, seen).isDefined();
    }
    return claim(replacer, seen)
        .orElse(() -> confirm(replacer, known, mutant).flatMap(now -> claim(replacer, now)))
        .map(users::haveStopped)
        .getOrElse(false);
  }

  private static Option<RecordedPrimary> claim(Participant replacer, RecordedPrimary seen) {
    PrimaryRecord next = seen.record().withReplacement(new Replacement(REPLACER, false));
    return replacer
        .records
        .writePrimary(next, seen.version())
        .map(version -> new RecordedPrimary(next, version))
        .toOption();
  }

  /** Confirms the record, as a proxy does that has had access to the primary all along. */
  private static Option<RecordedPrimary> confirm(
      Participant replacer, PrimaryRecords known, Mutant mutant) {
    replacer.records.readPrimaries().peek(read -> read.forEach(known::put));
    RecordedPrimary latest = known.find(FakeEndpoint.GROUP).orElseThrow();
    long returnSeenAt =
        mutant == Mutant.TRUSTS_LIST_OF_OLDER_COPY ? 0 : replacer.shared.storeMillis;
    PrimaryRecord next =
        latest.record().withConfirmation(new Confirmation(latest.version().era(), returnSeenAt));
    return replacer
        .records
        .writePrimary(next, latest.version())
        .map(version -> new RecordedPrimary(next, version))
        .toOption();
  }

  /** Returns all orders of calls and returns of the store. */
  private static List<List<Event>> orders(int userCalls, int replacerCalls, int returns) {
    if (userCalls == 0 && replacerCalls == 0 && returns == 0) {
      return List.of(List.of());
    }
    List<List<Event>> all = new ArrayList<>();
    if (userCalls > 0) {
      prepend(Event.USER, orders(userCalls - 1, replacerCalls, returns), all);
    }
    if (replacerCalls > 0) {
      prepend(Event.REPLACER, orders(userCalls, replacerCalls - 1, returns), all);
    }
    if (returns > 0) {
      prepend(Event.RETURN, orders(userCalls, replacerCalls, returns - 1), all);
    }
    return all;
  }

  private static void prepend(Event first, List<List<Event>> rests, List<List<Event>> all) {
    for (List<Event> rest : rests) {
      List<Event> order = new ArrayList<>(List.of(first));
      order.addAll(rest);
      all.add(order);
    }
  }

  private static void pass(FakeRecords shared, Participant... participants) {
    shared.storeMillis += PASSING_TIME.toMillis();
    for (Participant participant : participants) {
      participant.proxy.clock.advance(PASSING_TIME);
    }
  }

  /** What happens next. */
  private enum Event {
    USER,
    REPLACER,
    RETURN,
    TIME
  }

  /** A fault that the exploration has to find. */
  private enum Mutant {
    NONE,
    LISTS_BEFORE_CLAIM,
    TRUSTS_OLDER_COPY,
    TRUSTS_LIST_OF_OLDER_COPY,
    KEEPS_YOUNG_ACCESS
  }

  /** A proxy that learns of a return of the store from the answers to its own calls. */
  private static final class Participant {
    private final ServingFixture proxy;
    private final FakeRecords shared;
    private final StoreEras eras;
    private final TurnTakingRecords records;

    Participant(ServingFixture proxy, FakeRecords shared) {
      this.proxy = proxy;
      this.shared = shared;
      this.eras = new StoreEras(proxy.clock);
      this.eras.observe(shared.eras.current());
      this.records = new TurnTakingRecords(shared, () -> eras.observe(shared.eras.current()));
    }
  }

  /** Takes every record that the store has as the latest one. */
  private record TrustingRecords(SharedRecords records) implements SharedRecords {
    @Override
    public Either<RecordFailure, List<RecordedPrimary>> readPrimaries() {
      return records
          .readPrimaries()
          .map(read -> read.stream().map(TrustingRecords::confirmed).toList());
    }

    private static RecordedPrimary confirmed(RecordedPrimary read) {
      Confirmation confirmation = new Confirmation(read.version().era(), 0);
      return new RecordedPrimary(read.record().withConfirmation(confirmation), read.version());
    }

    @Override
    public Either<RecordFailure, StoreVersion> writePrimary(
        PrimaryRecord record, StoreVersion expected) {
      return records.writePrimary(record, expected);
    }

    @Override
    public Either<RecordFailure, StoreVersion> writeStop(StopRecord stop) {
      return records.writeStop(stop);
    }

    @Override
    public Either<RecordFailure, List<StopRecord>> readStops(GroupId group) {
      return records.readStops(group);
    }

    @Override
    public Either<RecordFailure, StoreVersion> renewProxy(
        ProxyRecord proxy, StoreVersion expected) {
      return records.renewProxy(proxy, expected);
    }

    @Override
    public Either<RecordFailure, StoreVersion> renewProxies(List<LeaseRenewal> renewals) {
      return records.renewProxies(renewals);
    }

    @Override
    public Either<RecordFailure, StoreVersion> removeProxy(VmId proxy, StoreVersion expected) {
      return records.removeProxy(proxy, expected);
    }

    @Override
    public Either<RecordFailure, ProxyList> readProxies() {
      return records.readProxies();
    }
  }
}

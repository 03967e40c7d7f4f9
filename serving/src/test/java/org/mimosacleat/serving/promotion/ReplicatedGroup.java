package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.FutureTask;
import java.util.function.BooleanSupplier;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.DirectExecutor;
import org.mimosacleat.serving.FakeEndpoint;
import org.mimosacleat.serving.ServingFixture;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.fleet.Teams;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * A group with synchronous replicas whose endpoints crash, drain, start again and are cut off, and
 * two proxies that watch it. Each promotion is checked against the acknowledged commits.
 */
final class ReplicatedGroup implements EndpointAdministration, PromotionClient {
  private static final Duration ENTRY_LIFETIME = Duration.ofMillis(3_600);
  private static final Optional<String> SUSPICION = Optional.of("no answer");

  final ServingFixture proxy = new ServingFixture();
  final FakeRecords records = new FakeRecords(proxy.clock);
  final List<ReplicatedNode> nodes = new ArrayList<>();
  final List<ReplicatedNode.Commit> acknowledged = new ArrayList<>();
  final List<EndpointId> promoted = new ArrayList<>();
  int lostCommits;

  /** Whether positions carry the term of the last commit, instead of the endpoint's term. */
  boolean reportsTermOfCommit;

  /** Entries do not show when an endpoint started. */
  boolean hidesStarts;

  /** Replicas report the latest term, whichever they know. */
  boolean hidesTerms;

  /** Runs whenever a proxy waits. */
  Runnable whileWaiting = () -> {};

  private final int synchronousReplicas;
  private final List<GroupFailoverController> controllers = new ArrayList<>();
  private final List<PrimaryRecords> caches = new ArrayList<>();
  private final List<ListChange> removals = new ArrayList<>();
  private final List<ListChange> unshown = new ArrayList<>();
  private long starts = 1;
  private long commits;

  /** A change of an endpoint's entry that is due. */
  private record ListChange(ReplicatedNode node, Instant due) {}

  ReplicatedGroup(int replicas, int synchronousReplicas) {
    this.synchronousReplicas = synchronousReplicas;
    proxy.pools.remove(proxy.primary.id());
    proxy.pools.remove(proxy.replica.id());
    proxy.configure(2, Teams.NOT_CONFIGURED, synchronousReplicas);
    for (int number = 0; number <= replicas; number++) {
      start("n" + number, "address" + number);
    }
    nodes.getFirst().role = EndpointRole.PRIMARY;
    publish(nodes.getFirst());
    proxy.groupState().setPrimary(nodes.getFirst().id, new Term(1));
    records.writePrimary(
        new PrimaryRecord(
            FakeEndpoint.GROUP,
            Optional.of(nodes.getFirst().id),
            new Term(1),
            0,
            Optional.empty(),
            FakeRecords.CONFIRMED),
        StoreVersion.absent(FakeRecords.CONFIRMED.era()));
    addProxy("first");
    addProxy("second");
  }

  private void addProxy(String name) {
    PrimaryRecords cache = new PrimaryRecords(_ -> {});
    VmId self = new VmId(name);
    caches.add(cache);
    controllers.add(
        new GroupFailoverController(
            FakeEndpoint.GROUP,
            new FailoverDependencies(
                self,
                proxy.fleet,
                proxy.pools,
                proxy.groupStates,
                records,
                FakeGroup.access(self, proxy, records, records.eras, cache),
                _ -> true,
                PeerStops.NONE,
                cache,
                this,
                this,
                new QueryExecutor(),
                records.eras,
                proxy.clock,
                proxy.wallClock,
                new Random(1),
                this::pause)));
  }

  /** Runs queries at once; work that goes on in the background is left out. */
  private static final class QueryExecutor extends DirectExecutor {
    @Override
    public void execute(Runnable task) {
      if (task instanceof FutureTask<?>) {
        task.run();
      }
    }
  }

  private void pause(Duration duration) {
    proxy.clock.advance(duration);
    settle();
    whileWaiting.run();
  }

  /** Lets a proxy evaluate the group, which suspects a primary that does not answer. */
  void evaluate(int number) {
    pause(Duration.ofMillis(250));
    records.primary.ifPresent(caches.get(number)::put);
    controllers.get(number).evaluate(primaryAnswers() ? Optional.empty() : SUSPICION);
  }

  private boolean primaryAnswers() {
    return recordedPrimary().filter(node -> node.answers() && isLeader(node)).isPresent();
  }

  boolean hasUsablePrimary() {
    return records.primary.orElseThrow().record().replacement().isEmpty() && primaryAnswers();
  }

  /** Returns the running endpoint that the record names. */
  Optional<ReplicatedNode> recordedPrimary() {
    return records.primary.flatMap(latest -> latest.record().primary()).flatMap(this::running);
  }

  private Optional<ReplicatedNode> running(EndpointId id) {
    return nodes.stream().filter(node -> node.id.equals(id) && node.running).findFirst();
  }

  private static boolean isLeader(ReplicatedNode node) {
    return node.role == EndpointRole.PRIMARY;
  }

  ReplicatedNode start(String id, String address) {
    ReplicatedNode node = new ReplicatedNode(id, address, starts++);
    nodes.add(node);
    publish(node);
    return node;
  }

  void publish(ReplicatedNode node) {
    EndpointEntry entry = node.entry();
    proxy.pools.put(
        hidesStarts
            ? new EndpointEntry(
                entry.id(),
                entry.group(),
                entry.address(),
                entry.zone(),
                entry.slots(),
                entry.draining(),
                entry.role(),
                0,
                0)
            : entry);
  }

  /** Ends an endpoint; its entry goes later. */
  void crash(ReplicatedNode node) {
    node.running = false;
    removals.add(new ListChange(node, proxy.clock.instant().plus(ENTRY_LIFETIME)));
  }

  /** Begins a planned shutdown. */
  void drain(ReplicatedNode node) {
    node.draining = true;
    node.drainingSince = proxy.clock.instant();
    publish(node);
  }

  /** Ends an endpoint if it has drained for some time. */
  void exitAfter(ReplicatedNode node, Duration time) {
    if (!proxy.clock.instant().isBefore(node.drainingSince.plus(time))) {
      exit(node);
    }
  }

  /** Ends an endpoint that has drained; its log stays for the next one at its address. */
  void exit(ReplicatedNode node) {
    node.running = false;
    proxy.pools.remove(node.id);
  }

  /** Starts the next endpoint at the address of one that has drained. */
  ReplicatedNode succeed(ReplicatedNode drained) {
    ReplicatedNode next =
        new ReplicatedNode(drained.id + "'", drained.address.getHostString(), starts++);
    next.log.addAll(drained.log);
    next.term = drained.term;
    nodes.add(next);
    publish(next);
    return next;
  }

  /** Starts an endpoint again under its id, without its log. */
  ReplicatedNode restart(ReplicatedNode node) {
    node.running = false;
    removals.removeIf(removal -> removal.node() == node);
    return start(node.id.value(), node.address.getHostString());
  }

  /** Starts an endpoint again without its log; it is listed with its earlier start for a while. */
  ReplicatedNode restartUnseen(ReplicatedNode node) {
    ReplicatedNode next = restart(node);
    publish(node);
    unshown.add(new ListChange(next, proxy.clock.instant().plus(ENTRY_LIFETIME)));
    return next;
  }

  /** Starts a crashed endpoint again with its log and its role. */
  void comeBack(ReplicatedNode node) {
    node.running = true;
    removals.removeIf(removal -> removal.node() == node);
    publish(node);
  }

  /** Writes at the primary as a client would, if the proxies may use it. */
  void write() {
    Optional<ReplicatedNode> used = proxy.groupState().primary().flatMap(this::running);
    if (used.isEmpty() || !isLeader(used.get()) || !used.get().reachable) {
      return;
    }
    ReplicatedNode primary = used.get();
    ReplicatedNode.Commit commit = new ReplicatedNode.Commit(primary.term, ++commits);
    primary.log.add(commit);
    settle();
    long receivers =
        nodes.stream()
            .filter(node -> node != primary && node.running)
            .filter(node -> node.log.contains(commit))
            .count();
    if (receivers >= synchronousReplicas) {
      acknowledged.add(commit);
    }
  }

  private List<ReplicatedNode> takeDue(List<ListChange> changes) {
    List<ListChange> due =
        changes.stream().filter(each -> !proxy.clock.instant().isBefore(each.due())).toList();
    changes.removeAll(due);
    return due.stream().map(ListChange::node).toList();
  }

  /** Makes changes of the list that are due, and lets replicas follow the latest primary. */
  private void settle() {
    takeDue(removals).forEach(node -> proxy.pools.remove(node.id));
    takeDue(unshown).stream().filter(node -> node.running).forEach(this::publish);
    Optional<ReplicatedNode> leader =
        nodes.stream()
            .filter(node -> node.running && isLeader(node))
            .max((one, two) -> Long.compare(one.term, two.term));
    for (ReplicatedNode node : nodes) {
      boolean follows = leader.isPresent() && node != leader.get() && node.running && node.receives;
      if (follows && node.term <= leader.get().term) {
        node.follow(leader.get());
      }
    }
  }

  @Override
  public Either<Failure, EndpointStatus> status(EndpointEntry entry) {
    return running(entry.id())
        .filter(ReplicatedNode::answers)
        .<Either<Failure, EndpointStatus>>map(
            node ->
                Either.right(
                    new EndpointStatus(
                        node.role, reportedTerm(node), node.end(reportsTermOfCommit))))
        .orElseGet(() -> Either.left(new Failure(ErrorKind.UNAVAILABLE, "unreachable")));
  }

  private Term reportedTerm(ReplicatedNode node) {
    return new Term(hidesTerms && !isLeader(node) ? latestTerm() : node.term);
  }

  private long latestTerm() {
    return nodes.stream().mapToLong(node -> node.term).max().orElseThrow();
  }

  @Override
  public Either<Failure, EndpointStatus> demote(EndpointEntry entry, Term term) {
    running(entry.id())
        .filter(ReplicatedNode::answers)
        .filter(node -> node.term < term.number())
        .ifPresent(node -> node.role = EndpointRole.REPLICA);
    return status(entry);
  }

  @Override
  public Result promote(
      GroupId group, EndpointId id, VmId holder, long token, BooleanSupplier maySend) {
    Optional<ReplicatedNode> next = running(id);
    if (next.isEmpty() || !maySend.getAsBoolean()) {
      return Result.NOT_TAKEN;
    }
    lostCommits +=
        (int) acknowledged.stream().filter(commit -> !next.get().log.contains(commit)).count();
    acknowledged.retainAll(next.get().log);
    next.get().term = latestTerm() + 1;
    next.get().role = EndpointRole.PRIMARY;
    promoted.add(id);
    return Result.TAKEN;
  }
}

package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.group.EndpointSnapshot;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lease.LeaseAction;
import org.mimosacleat.core.lease.WriteId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.promotion.GroupRow;
import org.mimosacleat.core.promotion.PromotionAction;
import org.mimosacleat.core.promotion.RowVersion;
import org.mimosacleat.core.time.PausedClock;

/**
 * A few proxies and endpoints of one group, which do something only when a command says so.
 *
 * <p>A command gives a request, changes a fault, or runs some steps of 50 ms; {@link #violations}
 * says what the oracle found.
 */
public final class World {
  /** The number of proxies, each in a zone of its own. */
  public static final int PROXIES = 3;

  /** The number of endpoints. */
  public static final int ENDPOINTS = 3;

  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);
  private static final GroupId GROUP = new GroupId("lending");

  private final Decisions decisions;
  private final PausedClock clock = new PausedClock();
  private final RandomGenerator random = new Random(1);
  private final Oracle oracle = new Oracle();
  private final List<FakeInstance> instances =
      IntStream.range(0, ENDPOINTS).mapToObj(i -> new FakeInstance(endpoint(i))).toList();
  private final FakeTable table;
  private final List<ProxyStack> proxies = new ArrayList<>();
  private final List<String> journal = new ArrayList<>();
  private final Set<EndpointId> leaving = new TreeSet<>();
  private List<Message> messages = new ArrayList<>();
  private int lastRequest;
  private int lastWriteId;

  /** Starts with an endpoint that is primary in the first term and two that follow it. */
  World(Decisions decisions) {
    this.decisions = decisions;
    instances.getFirst().startAsPrimary();
    instances.stream().skip(1).forEach(instance -> instance.follow(instances.getFirst()));
    RowVersion version = new RowVersion(0, vm(0), 0);
    this.table =
        new FakeTable(
            new GroupRow(
                GROUP, Term.FIRST, Optional.of(endpoint(0)), members(), Term.FIRST, version));
    IntStream.range(0, PROXIES).forEach(i -> proxies.add(new ProxyStack(i, this, decisions)));
    run(30);
  }

  /** Makes a world with the real decisions. */
  public static World real() {
    return new World(Decisions.REAL);
  }

  /** Returns what was violated so far. */
  public List<String> violations() {
    return oracle.violations();
  }

  /** Returns what was decided so far, for a failing case. */
  public List<String> journal() {
    return journal;
  }

  /** Sends a write through a proxy and returns its id. */
  public String write(int proxy, int session) {
    return issue(proxy, session, true);
  }

  /** Sends a read through a proxy. */
  public void read(int proxy, int session) {
    issue(proxy, session, false);
  }

  /** Lets time pass in steps; in each, messages arrive, proxies act and replicas receive. */
  public void run(int steps) {
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP);
      deliverAll();
      List.copyOf(proxies).forEach(ProxyStack::tick);
      instances.forEach(FakeInstance::replicate);
    }
  }

  /** Lets one message arrive out of order. */
  public void deliverOne(int index) {
    if (!messages.isEmpty()) {
      Message message = messages.remove(index % messages.size());
      if (!arrive(message)) {
        messages.add(message);
      }
    }
  }

  /** Loses one message. */
  public void loseOne(int index) {
    if (!messages.isEmpty()) {
      messages.remove(index % messages.size()).fail();
    }
  }

  /** Stops or resumes a proxy. */
  public void pauseProxy(int proxy, boolean paused) {
    if (paused) {
      proxies.get(proxy).pause();
    } else {
      proxies.get(proxy).resume();
    }
  }

  /** Kills a proxy and starts another in its place, which knows nothing. */
  public void replaceProxy(int proxy) {
    proxies.get(proxy).kill();
    proxies.set(proxy, new ProxyStack(proxy, this, decisions));
  }

  /** Has a proxy try to take the home, whether or not it is lost. */
  public void suspectHome(int proxy) {
    proxies.get(proxy).acquire();
  }

  /** Has the home hand over. */
  public void handOver() {
    proxies.forEach(ProxyStack::handOver);
  }

  /** Changes the table service. */
  void changeTable(FakeTable.Mode mode) {
    table.mode = mode;
  }

  /** Changes an endpoint. */
  void change(int index, java.util.function.Consumer<FakeInstance> change) {
    change.accept(instances.get(index));
  }

  /** Stops an endpoint. */
  public void fail(int index) {
    change(index, one -> one.up = false);
  }

  /** Lists an endpoint as leaving. */
  public void endpointLeaves(int index) {
    leaving.add(endpoint(index));
    oracle.leaving(endpoint(index), now());
  }

  /** Ends all faults. */
  public void heal() {
    table.mode = FakeTable.Mode.UP;
    for (FakeInstance instance : instances) {
      instance.up = true;
      instance.frozen = false;
      instance.reachable = true;
      instance.connectedToGroup = true;
      instance.replays = true;
      instance.losesAnswers = false;
    }
    proxies.forEach(ProxyStack::resume);
  }

  /** Returns the proxy that serves, if there is one. */
  public Optional<Integer> home() {
    return IntStream.range(0, PROXIES)
        .filter(i -> proxies.get(i).isUp() && !proxies.get(i).isPaused())
        .filter(i -> proxies.get(i).isServing() && proxies.get(i).primary().isPresent())
        .boxed()
        .findFirst();
  }

  /** Returns the index of the primary that the home serves with, or of the first endpoint. */
  public int primary() {
    return home()
        .flatMap(home -> proxies.get(home).primary())
        .map(id -> instances.indexOf(instance(id)))
        .orElse(0);
  }

  /** Tells whether a write was acknowledged. */
  public boolean isAcknowledged(String write) {
    return oracle.isAcknowledged(write);
  }

  Reached reached() {
    int homes = table.leaseRow().map(row -> (int) row.token().number()).orElse(0);
    return oracle.reached(homes);
  }

  void attemptFailed(ClientRequest request, Failure failure) {
    boolean left = request.countAttempt() && now().isBefore(request.deadline());
    if (left && decisions.maySendAgain(failure.kind())) {
      int next = home().orElse((int) (request.issuedAt().toEpochMilli() % PROXIES));
      proxies.get(next).start(new ClientRequest.Attempt(request, this));
      return;
    }
    request.finish();
    if (request.isWrite()) {
      oracle.failed(request.id(), failure);
    }
  }

  void send(Message message) {
    messages.add(message);
  }

  void tell(ProxyStack sender, LeaseAction.NotifyNextHome tell) {
    int target = Integer.parseInt(tell.to().value().substring(2));
    send(
        new Message(
            sender,
            new Channel.ToProxy(target),
            now(),
            () -> {
              ProxyStack next = proxies.get(target);
              next.post(() -> next.receiveHandOver(tell));
              return () -> {};
            },
            () -> {}));
  }

  void askPeers(ProxyStack asker, PromotionAction.RequestPeerEvidence question) {
    for (int i = 0; i < PROXIES; i++) {
      ProxyStack peer = proxies.get(i);
      AvailabilityZone zone = zone(i);
      if (peer != asker && peer.isUp() && !peer.isPaused()) {
        send(
            new Message(
                asker,
                new Channel.ToProxy(i),
                now(),
                () -> {
                  FakeInstance instance = instance(question.endpoint());
                  boolean reachable = canConnect(instance) && !instance.frozen;
                  return () -> asker.evidence(zone, question.round(), reachable);
                },
                () -> {}));
      }
    }
  }

  void heartbeat(ProxyStack sender) {
    proxies.stream().filter(proxy -> proxy != sender).forEach(ProxyStack::heartbeat);
  }

  void explain(VmId vm, String explanation) {
    journal.add(now() + " " + vm + ": " + explanation);
  }

  boolean canConnect(FakeInstance instance) {
    return instance.up && instance.reachable;
  }

  Decisions decisions() {
    return decisions;
  }

  Oracle oracle() {
    return oracle;
  }

  FakeTable table() {
    return table;
  }

  PausedClock clock() {
    return clock;
  }

  Instant now() {
    return clock.instant();
  }

  RandomGenerator random() {
    return random;
  }

  GroupId group() {
    return GROUP;
  }

  Set<EndpointId> leaving() {
    return leaving;
  }

  List<FakeInstance> instances() {
    return instances;
  }

  FakeInstance instance(EndpointId id) {
    return instances.stream().filter(one -> one.id().equals(id)).findFirst().orElseThrow();
  }

  EndpointId endpoint(int index) {
    return new EndpointId("endpoint-" + index);
  }

  Set<EndpointId> members() {
    return instances.stream().map(FakeInstance::id).collect(Collectors.toSet());
  }

  VmId vm(int index) {
    return new VmId("vm" + index);
  }

  List<VmId> otherVms(int index) {
    return IntStream.range(0, PROXIES).filter(i -> i != index).mapToObj(this::vm).toList();
  }

  AvailabilityZone zone(int index) {
    return new AvailabilityZone("zone-" + index);
  }

  WriteId nextWriteId() {
    lastWriteId++;
    return new WriteId("write-" + lastWriteId);
  }

  GroupSnapshot unseenGroup() {
    List<EndpointSnapshot> views =
        IntStream.range(0, ENDPOINTS)
            .mapToObj(
                i ->
                    new EndpointSnapshot(
                        endpoint(i),
                        zone(i),
                        EndpointState.SUSPECT,
                        Position.NONE,
                        Position.NONE,
                        Instant.MIN))
            .toList();
    return new GroupSnapshot(GROUP, new Term(0), Optional.empty(), views);
  }

  private String issue(int proxy, int session, boolean write) {
    lastRequest++;
    String id = (write ? "write-" : "read-") + lastRequest;
    String name = "session-" + session;
    ClientRequest request = new ClientRequest(id, name, write, now(), oracle.requiredBy(name));
    proxies.get(proxy).start(new ClientRequest.Attempt(request, this));
    return id;
  }

  private void deliverAll() {
    List<Message> arriving = messages;
    messages = new ArrayList<>();
    for (Message message : arriving) {
      if (!arrive(message)) {
        messages.add(message);
      }
    }
  }

  /** Returns false if the message is held back on its way. */
  private boolean arrive(Message message) {
    if (Duration.between(message.sentAt(), now()).compareTo(ANSWER_TIMEOUT) > 0) {
      message.fail();
    }
    return switch (message.channel()) {
      case Channel.ToTable() -> arriveAtTable(message);
      case Channel.ToInstance(FakeInstance instance) -> arriveAt(instance, message);
      case Channel.ToProxy(int number) -> {
        message.deliver(false);
        yield true;
      }
    };
  }

  private boolean arriveAtTable(Message message) {
    return switch (table.mode) {
      case UP -> {
        message.deliver(false);
        yield true;
      }
      case DOWN -> {
        message.fail();
        yield true;
      }
      case LOSES_ANSWERS -> {
        message.deliver(true);
        yield true;
      }
      case SLOW -> false;
    };
  }

  private boolean arriveAt(FakeInstance instance, Message message) {
    if (!canConnect(instance)) {
      message.fail();
      return true;
    }
    if (instance.frozen) {
      return false;
    }
    message.deliver(instance.losesAnswers);
    return true;
  }
}

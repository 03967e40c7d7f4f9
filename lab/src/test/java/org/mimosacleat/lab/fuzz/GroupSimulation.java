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
 * A deterministic simulation of one group with a few proxies and endpoints on a simulated clock.
 *
 * <p>Nothing happens by itself: each command sends a request, injects or ends a fault, or runs some
 * steps of 50 ms. {@link #violations} returns what the oracle found.
 */
public final class GroupSimulation {
  /** The number of proxies, each in its own availability zone. */
  public static final int PROXIES = 3;

  /** The number of endpoints. */
  public static final int ENDPOINTS = 3;

  private static final Duration STEP_DURATION = Duration.ofMillis(50);
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);
  private static final GroupId GROUP = new GroupId("lending");

  private final ProxyComponents components;
  private final PausedClock clock = new PausedClock();
  private final RandomGenerator random = new Random(1);
  private final Oracle oracle = new Oracle();
  private final List<FakeInstance> instances =
      IntStream.range(0, ENDPOINTS).mapToObj(i -> new FakeInstance(endpoint(i))).toList();
  private final FakeTable table;
  private final List<SimulatedProxy> proxies = new ArrayList<>();
  private final List<String> explanations = new ArrayList<>();
  private final Set<EndpointId> leaving = new TreeSet<>();
  private List<Message> pendingMessages = new ArrayList<>();
  private int lastRequestNumber;
  private int lastWriteIdNumber;

  /** Starts with the first endpoint as primary of the first term and the others as its replicas. */
  GroupSimulation(ProxyComponents components) {
    this.components = components;
    instances.getFirst().startAsPrimary();
    instances.stream().skip(1).forEach(instance -> instance.follow(instances.getFirst()));
    RowVersion version = new RowVersion(0, vm(0), 0);
    this.table =
        new FakeTable(
            new GroupRow(
                GROUP, Term.FIRST, Optional.of(endpoint(0)), endpointIds(), Term.FIRST, version));
    IntStream.range(0, PROXIES).forEach(i -> proxies.add(new SimulatedProxy(i, this, components)));
    runSteps(30);
  }

  /** Creates a simulation that runs the production components. */
  public static GroupSimulation withRealComponents() {
    return new GroupSimulation(ProxyComponents.REAL);
  }

  /** Returns the violations found so far. */
  public List<String> violations() {
    return oracle.violations();
  }

  /** Returns the explanations of all decisions so far, for failure messages. */
  public List<String> explanations() {
    return explanations;
  }

  /** Returns the state of the proxies and endpoints, for failure messages. */
  public List<String> state() {
    List<String> state = new ArrayList<>();
    proxies.forEach(proxy -> state.add(proxy.toString()));
    instances.forEach(instance -> state.add(instance.toString()));
    return state;
  }

  /** Sends a write through a proxy and returns its id. */
  public String write(int proxy, int session) {
    return startRequest(proxy, session, true);
  }

  /** Sends a read through a proxy. */
  public void read(int proxy, int session) {
    startRequest(proxy, session, false);
  }

  /** Advances time by steps; in each, messages are delivered, proxies act and replicas receive. */
  public void runSteps(int steps) {
    for (int step = 0; step < steps; step++) {
      clock.advance(STEP_DURATION);
      deliverPending();
      List.copyOf(proxies).forEach(SimulatedProxy::tick);
      instances.forEach(FakeInstance::replicate);
    }
  }

  /** Delivers one pending message out of order. */
  public void deliverOne(int index) {
    if (!pendingMessages.isEmpty()) {
      Message message = pendingMessages.remove(index % pendingMessages.size());
      if (!deliver(message)) {
        pendingMessages.add(message);
      }
    }
  }

  /** Drops one pending message; its sender sees a failure. */
  public void dropOne(int index) {
    if (!pendingMessages.isEmpty()) {
      pendingMessages.remove(index % pendingMessages.size()).fail();
    }
  }

  /** Pauses or resumes a proxy. */
  public void pauseProxy(int proxy, boolean paused) {
    if (paused) {
      proxies.get(proxy).pause();
    } else {
      proxies.get(proxy).resume();
    }
  }

  /** Kills a proxy and starts another in its place without any state. */
  public void replaceProxy(int proxy) {
    proxies.get(proxy).kill();
    proxies.set(proxy, new SimulatedProxy(proxy, this, components));
  }

  /** Makes a proxy try to become the home, whether or not the current home has failed. */
  public void acquireHomeFrom(int proxy) {
    proxies.get(proxy).acquireLease();
  }

  /** Makes the home hand over to another proxy. */
  public void handOver() {
    proxies.forEach(SimulatedProxy::handOver);
  }

  /** Sets how the table service behaves. */
  void setTableMode(FakeTable.Mode mode) {
    table.mode = mode;
  }

  /** Applies a change to the instance of an endpoint. */
  void changeInstance(int index, java.util.function.Consumer<FakeInstance> change) {
    change.accept(instances.get(index));
  }

  /** Stops the instance of an endpoint. */
  public void stopInstance(int index) {
    changeInstance(index, instance -> instance.up = false);
  }

  /** Lists an endpoint as leaving. */
  public void markLeaving(int index) {
    leaving.add(endpoint(index));
    oracle.recordLeaving(endpoint(index), now());
  }

  /** Ends all faults. */
  public void heal() {
    table.mode = FakeTable.Mode.UP;
    for (FakeInstance instance : instances) {
      instance.up = true;
      instance.frozen = false;
      instance.reachable = true;
      instance.connectedToGroup = true;
      instance.replaying = true;
      instance.dropsAnswers = false;
    }
    proxies.forEach(SimulatedProxy::resume);
  }

  /** Returns the number of the proxy that serves the group as its home, if there is one. */
  public Optional<Integer> home() {
    return IntStream.range(0, PROXIES)
        .filter(i -> proxies.get(i).isUp() && !proxies.get(i).isPaused())
        .filter(i -> proxies.get(i).isServing() && proxies.get(i).primary().isPresent())
        .boxed()
        .findFirst();
  }

  /** Returns the index of the primary that the home uses, or 0 if there is no home. */
  public int primary() {
    return home()
        .flatMap(home -> proxies.get(home).primary())
        .map(id -> instances.indexOf(instance(id)))
        .orElse(0);
  }

  /** Returns whether a write was acknowledged. */
  public boolean isAcknowledged(String write) {
    return oracle.isAcknowledged(write);
  }

  Coverage coverage() {
    int homes = table.leaseRow().map(row -> (int) row.token().number()).orElse(0);
    return oracle.coverage(homes);
  }

  void onAttemptFailed(ClientRequest request, Failure failure) {
    boolean canAttemptAgain = request.countAttempt() && now().isBefore(request.deadline());
    if (canAttemptAgain && components.canRetry(failure.kind())) {
      int next = home().orElse((int) (request.issuedAt().toEpochMilli() % PROXIES));
      proxies.get(next).startAttempt(new ClientRequest.Attempt(request, this));
      return;
    }
    request.finish();
    if (request.isWrite()) {
      oracle.recordFailure(request.id(), failure);
    }
  }

  void send(Message message) {
    pendingMessages.add(message);
  }

  void sendHandOver(SimulatedProxy sender, LeaseAction.NotifyNextHome notification) {
    int target = Integer.parseInt(notification.to().value().substring(2));
    send(
        new Message(
            sender,
            new Destination.Proxy(target),
            now(),
            () -> {
              SimulatedProxy next = proxies.get(target);
              next.enqueue(() -> next.receiveHandOver(notification));
              return () -> {};
            },
            () -> {}));
  }

  void sendReachabilityQuery(SimulatedProxy requester, PromotionAction.RequestPeerEvidence query) {
    for (int i = 0; i < PROXIES; i++) {
      SimulatedProxy peer = proxies.get(i);
      AvailabilityZone zone = zone(i);
      if (peer != requester && peer.isUp() && !peer.isPaused()) {
        send(
            new Message(
                requester,
                new Destination.Proxy(i),
                now(),
                () -> {
                  FakeInstance instance = instance(query.endpoint());
                  boolean reachable = canConnect(instance) && !instance.frozen;
                  return () -> requester.receiveEvidence(zone, query.round(), reachable);
                },
                () -> {}));
      }
    }
  }

  void sendHeartbeat(SimulatedProxy sender) {
    proxies.stream().filter(proxy -> proxy != sender).forEach(SimulatedProxy::receiveHeartbeat);
  }

  void recordExplanation(VmId vm, String explanation) {
    explanations.add(now() + " " + vm + ": " + explanation);
  }

  boolean canConnect(FakeInstance instance) {
    return instance.up && instance.reachable;
  }

  ProxyComponents components() {
    return components;
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
    return instances.stream()
        .filter(instance -> instance.id().equals(id))
        .findFirst()
        .orElseThrow();
  }

  EndpointId endpoint(int index) {
    return new EndpointId("endpoint-" + index);
  }

  Set<EndpointId> endpointIds() {
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
    lastWriteIdNumber++;
    return new WriteId("write-" + lastWriteIdNumber);
  }

  GroupSnapshot initialSnapshot() {
    List<EndpointSnapshot> endpoints =
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
    return new GroupSnapshot(GROUP, new Term(0), Optional.empty(), endpoints);
  }

  private String startRequest(int proxy, int session, boolean write) {
    lastRequestNumber++;
    String id = (write ? "write-" : "read-") + lastRequestNumber;
    String name = "session-" + session;
    ClientRequest request = new ClientRequest(id, name, write, now(), oracle.requiredWrites(name));
    proxies.get(proxy).startAttempt(new ClientRequest.Attempt(request, this));
    return id;
  }

  private void deliverPending() {
    List<Message> delivered = pendingMessages;
    pendingMessages = new ArrayList<>();
    for (Message message : delivered) {
      if (!deliver(message)) {
        pendingMessages.add(message);
      }
    }
  }

  /** Returns false if the message stays pending. */
  private boolean deliver(Message message) {
    if (Duration.between(message.sentAt(), now()).compareTo(ANSWER_TIMEOUT) > 0) {
      message.fail();
    }
    return switch (message.destination()) {
      case Destination.Table() -> deliverToTable(message);
      case Destination.Instance(FakeInstance instance) -> deliverToInstance(instance, message);
      case Destination.Proxy(int number) -> {
        message.deliver(false);
        yield true;
      }
    };
  }

  private boolean deliverToTable(Message message) {
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

  private boolean deliverToInstance(FakeInstance instance, Message message) {
    if (!canConnect(instance)) {
      message.fail();
      return true;
    }
    if (instance.frozen) {
      return false;
    }
    message.deliver(instance.dropsAnswers);
    return true;
  }
}

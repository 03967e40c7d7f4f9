package org.mimosacleat.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * Finds out which VMs are live by the SWIM protocol: each VM probes one member an interval, asks
 * helpers in other zones if there is no answer, suspects, and passes what it learns along with its
 * messages. Its cost for a member does not depend on the number of members.
 *
 * <p>Feed {@link #step} from one thread and carry out the actions it returns; read {@link #view}
 * from any thread. Messages may be lost, late, repeated and crossed.
 */
public final class MembershipMachine {
  private static final int HELPERS = 3;
  private static final int HELPER_DRAWS = 12;
  private static final Duration MEMORY_OF_DEAD = Duration.ofMinutes(10);
  private static final Duration RELAY_LIFE = Duration.ofSeconds(2);

  private final InstantSource clock;
  private final RandomGenerator random;
  private final MembershipTimes times;
  private final MemberTable table;
  private final ProbeOrder probeOrder;
  private final ProbeOrder helperOrder;
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Map<Long, Relay> relays = new HashMap<>();
  private final AtomicReference<MembersView> view;

  private long sequence;
  private int nextBucket;
  private boolean comparedAll;
  private Instant lastTick;
  private Instant nextProbe;
  private Instant nextReprobe;

  /**
   * Makes a machine that knows only itself.
   *
   * @param self this VM's own record, alive, with an incarnation above that of its earlier lives,
   *     for example the start time in milliseconds
   * @param clock never steps backwards
   * @param random decides whom to probe
   * @param times the durations
   */
  public MembershipMachine(
      MemberRecord self, InstantSource clock, RandomGenerator random, MembershipTimes times) {
    this.clock = clock;
    this.random = random;
    this.times = times;
    Instant now = clock.instant();
    this.table = new MemberTable(self, now);
    this.probeOrder = new ProbeOrder(random);
    this.helperOrder = new ProbeOrder(random);
    this.view = new AtomicReference<>(table.view(0));
    this.lastTick = now;
    this.nextProbe = now.plus(randomPart(times.probeInterval()));
    this.nextReprobe = now.plus(randomPart(times.reprobe()));
  }

  /** Returns the members as this VM knows them; safe to call from any thread. */
  public MembersView view() {
    return view.get();
  }

  /** Takes one input and returns what has to be done about it. */
  public List<MembershipAction> step(MembershipInput input) {
    List<MembershipAction> actions = new ArrayList<>();
    switch (input) {
      case MembershipInput.Tick() -> tick(actions);
      case MembershipInput.Received received -> received(received.message(), actions);
      case MembershipInput.Listed listed -> listed(listed.vms());
      case MembershipInput.Leave() -> leave(actions);
    }
    return actions;
  }

  private void tick(List<MembershipAction> actions) {
    Instant now = clock.instant();
    boolean wasPaused = now.isAfter(lastTick.plus(times.pause()));
    lastTick = now;
    if (wasPaused) {
      probes.clear();
      relays.clear();
      table.restartSuspicions(now);
    }
    checkProbes(now, actions);
    relays.values().removeIf(relay -> now.isAfter(relay.sentAt().plus(RELAY_LIFE)));
    table.expireSuspects(now, times);
    if (!now.isBefore(nextProbe)) {
      nextProbe = now.plus(times.probeInterval());
      probeNext(now, actions);
      compareNext(actions);
    } else if (!comparedAll) {
      compareNext(actions);
    }
    if (!now.isBefore(nextReprobe)) {
      nextReprobe = now.plus(times.reprobe());
      reprobeDead(actions);
    }
    publish(actions);
  }

  private void publish(List<MembershipAction> actions) {
    if (!table.hasChanged()) {
      return;
    }
    MembersView next = table.view(view.get().version() + 1);
    view.set(next);
    actions.add(new MembershipAction.ViewChanged(next, table.takeExplanations()));
  }

  private void checkProbes(Instant now, List<MembershipAction> actions) {
    for (Map.Entry<Long, Probe> entry : List.copyOf(probes.entrySet())) {
      Probe probe = entry.getValue();
      if (!now.isBefore(probe.sentAt().plus(times.probeInterval()))) {
        probes.remove(entry.getKey());
        suspect(probe.target(), now);
      } else if (!probe.helpersAsked()
          && !now.isBefore(probe.sentAt().plus(times.directTimeout()))) {
        probes.put(entry.getKey(), new Probe(probe.target(), probe.sentAt(), true));
        askHelpers(entry.getKey(), probe.target(), actions);
      }
    }
  }

  private void suspect(VmId target, Instant now) {
    MemberEntry entry = table.get(target);
    if (entry != null && entry.record().status() != MemberStatus.DEAD) {
      table.merge(entry.record().withStatus(MemberStatus.SUSPECT, table.self().vm()), now);
    }
  }

  private void askHelpers(long probe, VmId target, List<MembershipAction> actions) {
    Set<VmId> helpers = new HashSet<>();
    Set<AvailabilityZone> zones = new HashSet<>();
    for (int draw = 0; draw < HELPER_DRAWS && helpers.size() < HELPERS; draw++) {
      VmId helper = helperOrder.next(table, entry -> isPeer(entry) && !isVm(entry, target));
      if (helper == null) {
        return;
      }
      boolean isNewZone = zones.add(table.get(helper).record().zone());
      boolean isLastChance = draw >= HELPER_DRAWS / 2;
      if ((isNewZone || isLastChance) && helpers.add(helper)) {
        send(
            helper,
            new MembershipMessage.IndirectPing(table.self(), probe, target, recordsFor(helper)),
            actions);
      }
    }
  }

  private void probeNext(Instant now, List<MembershipAction> actions) {
    VmId target = probeOrder.next(table, this::isPeer);
    if (target == null) {
      return;
    }
    long number = ++sequence;
    probes.put(number, new Probe(target, now, false));
    ping(number, target, actions);
  }

  private void reprobeDead(List<MembershipAction> actions) {
    List<VmId> dead = table.listedDead();
    if (!dead.isEmpty()) {
      ping(++sequence, dead.get(random.nextInt(dead.size())), actions);
    }
  }

  private void ping(long number, VmId target, List<MembershipAction> actions) {
    send(target, new MembershipMessage.Ping(table.self(), number, recordsFor(target)), actions);
  }

  private void compareNext(List<MembershipAction> actions) {
    int buckets = Buckets.count(table.size());
    if (nextBucket >= buckets) {
      nextBucket = 0;
      comparedAll = true;
    }
    VmId peer = helperOrder.next(table, this::isPeer);
    if (peer == null) {
      return;
    }
    int bucket = nextBucket++;
    long digest = Buckets.digest(Buckets.records(table.entries(), bucket, buckets));
    send(peer, new MembershipMessage.Compare(table.self(), bucket, buckets, digest), actions);
  }

  private void received(MembershipMessage message, List<MembershipAction> actions) {
    Instant now = clock.instant();
    table.merge(message.sender(), now);
    message.records().forEach(record -> table.merge(record, now));
    VmId from = message.sender().vm();
    switch (message) {
      case MembershipMessage.Ping ping -> acknowledge(from, ping.sequence(), actions);
      case MembershipMessage.Acknowledgement answer -> acknowledged(answer.sequence(), actions);
      case MembershipMessage.IndirectPing ping -> help(from, ping, now, actions);
      case MembershipMessage.Compare compare -> compare(from, compare, actions);
      case MembershipMessage.Bucket bucket -> sendBack(from, bucket, actions);
    }
  }

  private void acknowledge(VmId to, long number, List<MembershipAction> actions) {
    send(to, new MembershipMessage.Acknowledgement(table.self(), number, recordsFor(to)), actions);
  }

  private void acknowledged(long number, List<MembershipAction> actions) {
    probes.remove(number);
    Relay relay = relays.remove(number);
    if (relay != null) {
      acknowledge(relay.origin(), relay.sequence(), actions);
    }
  }

  private void help(
      VmId origin,
      MembershipMessage.IndirectPing request,
      Instant now,
      List<MembershipAction> actions) {
    if (table.get(request.target()) == null) {
      return;
    }
    long number = ++sequence;
    relays.put(number, new Relay(origin, request.sequence(), now));
    ping(number, request.target(), actions);
  }

  private void compare(
      VmId from, MembershipMessage.Compare compare, List<MembershipAction> actions) {
    List<MemberRecord> own = Buckets.records(table.entries(), compare.bucket(), compare.buckets());
    if (Buckets.digest(own) == compare.digest()) {
      return;
    }
    for (int start = 0; start < own.size(); start += MembershipMessage.MAXIMUM_RECORDS) {
      int end = Math.min(own.size(), start + MembershipMessage.MAXIMUM_RECORDS);
      List<MemberRecord> part = List.copyOf(own.subList(start, end));
      send(from, new MembershipMessage.Bucket(table.self(), part, true), actions);
    }
  }

  private void sendBack(
      VmId from, MembershipMessage.Bucket bucket, List<MembershipAction> actions) {
    if (!bucket.isAnswer()) {
      return;
    }
    List<MemberRecord> better = new ArrayList<>();
    for (MemberRecord theirs : bucket.records()) {
      MemberEntry own = table.get(theirs.vm());
      if (own != null && own.record().overrides(theirs)) {
        better.add(own.record());
      }
    }
    if (!better.isEmpty()) {
      send(from, new MembershipMessage.Bucket(table.self(), better, false), actions);
    }
  }

  private void listed(List<ListedVm> vms) {
    Instant now = clock.instant();
    Set<VmId> names = new HashSet<>();
    for (ListedVm listed : vms) {
      names.add(listed.vm());
      table.list(listed, now);
    }
    table.forgetUnlisted(names, now, MEMORY_OF_DEAD);
  }

  private void leave(List<MembershipAction> actions) {
    MemberRecord self = table.self();
    if (self.status() == MemberStatus.LEAVING) {
      return;
    }
    table.setSelf(self.withStatus(MemberStatus.LEAVING, self.vm()), clock.instant());
    for (int count = 0; count < HELPERS; count++) {
      VmId peer = helperOrder.next(table, this::isPeer);
      if (peer != null) {
        ping(++sequence, peer, actions);
      }
    }
    publish(actions);
  }

  /** Returns what to send along; a receiver that is not believed alive learns of that first. */
  private List<MemberRecord> recordsFor(VmId receiver) {
    MemberEntry entry = table.get(receiver);
    boolean tellsReceiver = entry != null && entry.record().status() != MemberStatus.ALIVE;
    List<MemberRecord> records = new ArrayList<>();
    if (tellsReceiver) {
      records.add(entry.record());
    }
    records.addAll(table.takeUpdates(MembershipMessage.MAXIMUM_RECORDS - records.size()));
    return List.copyOf(records);
  }

  private void send(VmId to, MembershipMessage message, List<MembershipAction> actions) {
    MemberEntry entry = table.get(to);
    if (entry != null) {
      actions.add(new MembershipAction.Send(to, entry.record().address(), message));
    }
  }

  private boolean isPeer(MemberEntry entry) {
    return entry.record().status() != MemberStatus.DEAD && !isVm(entry, table.self().vm());
  }

  private static boolean isVm(MemberEntry entry, VmId vm) {
    return entry.record().vm().equals(vm);
  }

  private Duration randomPart(Duration whole) {
    return Duration.ofMillis(random.nextLong(whole.toMillis()));
  }
}

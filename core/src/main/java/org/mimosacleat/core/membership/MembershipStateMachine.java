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
 * Detects which VMs are live with the SWIM protocol: in each interval a VM pings one member. If the
 * member does not answer, helpers in other zones ping it as well, and if they get no answer either,
 * the VM suspects the member. Changes are piggybacked on protocol messages. The cost of each member
 * does not depend on the pingSequence of members.
 *
 * <p>Call {@link #step} from one thread only and carry out the actions it returns; {@link #view}
 * may be called from any thread. Messages may be lost, delayed, duplicated and reordered.
 */
public final class MembershipStateMachine {
  private static final int MAX_HELPERS = 3;
  private static final int MAX_HELPER_DRAWS = 12;
  private static final Duration DEAD_RETENTION = Duration.ofMinutes(10);
  private static final Duration RELAY_TIMEOUT = Duration.ofSeconds(2);

  private final InstantSource clock;
  private final RandomGenerator random;
  private final MembershipTimes times;
  private final MemberTable table;
  private final ProbeOrder probeOrder;
  private final ProbeOrder helperOrder;
  private final Map<Long, Probe> probes = new HashMap<>();
  private final Map<Long, RelayedPing> relays = new HashMap<>();
  private final AtomicReference<MembershipView> view;

  private long lastSequence;
  private int nextBucket;
  private boolean initialComparisonDone;
  private Instant lastTick;
  private Instant nextProbe;
  private Instant nextReprobe;

  /**
   * Creates a state machine that knows only this VM.
   *
   * @param self this VM's own record: alive, with an incarnation above those of its earlier runs,
   *     for example the start time in milliseconds
   * @param clock a clock that never goes backwards
   * @param random chooses the VMs to probe
   * @param times intervals and timeouts
   */
  public MembershipStateMachine(
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
    this.nextProbe = now.plus(randomFraction(times.probeInterval()));
    this.nextReprobe = now.plus(randomFraction(times.reprobeInterval()));
  }

  /** Returns the members as this VM knows them; may be called from any thread. */
  public MembershipView view() {
    return view.get();
  }

  /** Processes one input and returns the actions to carry out. */
  public List<MembershipAction> step(MembershipInput input) {
    List<MembershipAction> actions = new ArrayList<>();
    switch (input) {
      case MembershipInput.Tick() -> tick(actions);
      case MembershipInput.Received received -> handleMessage(received.message(), actions);
      case MembershipInput.VmListRead listed -> applyVmList(listed.vms());
      case MembershipInput.Leave() -> leave(actions);
    }
    return actions;
  }

  private void tick(List<MembershipAction> actions) {
    Instant now = clock.instant();
    boolean wasPaused = now.isAfter(lastTick.plus(times.pauseThreshold()));
    lastTick = now;
    if (wasPaused) {
      probes.clear();
      relays.clear();
      table.restartSuspicionTimers(now);
    }
    checkProbes(now, actions);
    relays.values().removeIf(relay -> now.isAfter(relay.sentAt().plus(RELAY_TIMEOUT)));
    table.expireSuspects(now, times);
    if (!now.isBefore(nextProbe)) {
      nextProbe = now.plus(times.probeInterval());
      probeNext(now, actions);
      compareNextBucket(actions);
    } else if (!initialComparisonDone) {
      compareNextBucket(actions);
    }
    if (!now.isBefore(nextReprobe)) {
      nextReprobe = now.plus(times.reprobeInterval());
      reprobeDead(actions);
    }
    publish(actions);
  }

  private void publish(List<MembershipAction> actions) {
    if (!table.hasChanged()) {
      return;
    }
    MembershipView next = table.view(view.get().version() + 1);
    view.set(next);
    actions.add(new MembershipAction.ViewChanged(next, table.drainExplanations()));
  }

  private void checkProbes(Instant now, List<MembershipAction> actions) {
    for (Map.Entry<Long, Probe> entry : List.copyOf(probes.entrySet())) {
      Probe probe = entry.getValue();
      if (!now.isBefore(probe.sentAt().plus(times.probeInterval()))) {
        probes.remove(entry.getKey());
        suspect(probe.target(), now);
      } else if (!probe.indirectPingsSent()
          && !now.isBefore(probe.sentAt().plus(times.directTimeout()))) {
        probes.put(entry.getKey(), new Probe(probe.target(), probe.sentAt(), true));
        requestIndirectPings(entry.getKey(), probe.target(), actions);
      }
    }
  }

  private void suspect(VmId target, Instant now) {
    MemberEntry entry = table.get(target);
    if (entry != null && entry.record().status() != MemberStatus.DEAD) {
      table.merge(entry.record().withStatus(MemberStatus.SUSPECT, table.self().vm()), now);
    }
  }

  private void requestIndirectPings(
      long probeSequence, VmId target, List<MembershipAction> actions) {
    Set<VmId> helpers = new HashSet<>();
    Set<AvailabilityZone> zones = new HashSet<>();
    for (int draw = 0; draw < MAX_HELPER_DRAWS && helpers.size() < MAX_HELPERS; draw++) {
      VmId helper = helperOrder.next(table, entry -> isPeer(entry) && !isVm(entry, target));
      if (helper == null) {
        return;
      }
      boolean isNewZone = zones.add(table.get(helper).record().zone());
      boolean allowsKnownZone = draw >= MAX_HELPER_DRAWS / 2;
      if ((isNewZone || allowsKnownZone) && helpers.add(helper)) {
        send(
            helper,
            new MembershipMessage.IndirectPing(
                table.self(), probeSequence, target, piggybackedRecords(helper)),
            actions);
      }
    }
  }

  private void probeNext(Instant now, List<MembershipAction> actions) {
    VmId target = probeOrder.next(table, this::isPeer);
    if (target == null) {
      return;
    }
    long pingSequence = ++lastSequence;
    probes.put(pingSequence, new Probe(target, now, false));
    ping(pingSequence, target, actions);
  }

  private void reprobeDead(List<MembershipAction> actions) {
    List<VmId> dead = table.listedDeadVms();
    if (!dead.isEmpty()) {
      ping(++lastSequence, dead.get(random.nextInt(dead.size())), actions);
    }
  }

  private void ping(long pingSequence, VmId target, List<MembershipAction> actions) {
    send(
        target,
        new MembershipMessage.Ping(table.self(), pingSequence, piggybackedRecords(target)),
        actions);
  }

  private void compareNextBucket(List<MembershipAction> actions) {
    int buckets = DigestBuckets.bucketCount(table.size());
    if (nextBucket >= buckets) {
      nextBucket = 0;
      initialComparisonDone = true;
    }
    VmId peer = helperOrder.next(table, this::isPeer);
    if (peer == null) {
      return;
    }
    int bucket = nextBucket++;
    long digest =
        DigestBuckets.digest(DigestBuckets.recordsInBucket(table.entries(), bucket, buckets));
    send(peer, new MembershipMessage.CompareDigest(table.self(), bucket, buckets, digest), actions);
  }

  private void handleMessage(MembershipMessage message, List<MembershipAction> actions) {
    Instant now = clock.instant();
    table.merge(message.sender(), now);
    message.records().forEach(record -> table.merge(record, now));
    VmId from = message.sender().vm();
    switch (message) {
      case MembershipMessage.Ping ping -> acknowledge(from, ping.sequence(), actions);
      case MembershipMessage.Acknowledgement answer ->
          handleAcknowledgement(answer.sequence(), actions);
      case MembershipMessage.IndirectPing ping -> relayPing(from, ping, now, actions);
      case MembershipMessage.CompareDigest compare -> answerCompare(from, compare, actions);
      case MembershipMessage.BucketRecords bucket -> sendNewerRecords(from, bucket, actions);
    }
  }

  private void acknowledge(VmId to, long pingSequence, List<MembershipAction> actions) {
    send(
        to,
        new MembershipMessage.Acknowledgement(table.self(), pingSequence, piggybackedRecords(to)),
        actions);
  }

  private void handleAcknowledgement(long pingSequence, List<MembershipAction> actions) {
    probes.remove(pingSequence);
    RelayedPing relay = relays.remove(pingSequence);
    if (relay != null) {
      acknowledge(relay.requester(), relay.requesterSequence(), actions);
    }
  }

  private void relayPing(
      VmId requester,
      MembershipMessage.IndirectPing request,
      Instant now,
      List<MembershipAction> actions) {
    if (table.get(request.target()) == null) {
      return;
    }
    long pingSequence = ++lastSequence;
    relays.put(pingSequence, new RelayedPing(requester, request.sequence(), now));
    ping(pingSequence, request.target(), actions);
  }

  private void answerCompare(
      VmId from, MembershipMessage.CompareDigest compare, List<MembershipAction> actions) {
    List<MemberRecord> own =
        DigestBuckets.recordsInBucket(table.entries(), compare.bucket(), compare.buckets());
    if (DigestBuckets.digest(own) == compare.digest()) {
      return;
    }
    for (int start = 0; start < own.size(); start += MembershipMessage.MAX_RECORDS) {
      int end = Math.min(own.size(), start + MembershipMessage.MAX_RECORDS);
      List<MemberRecord> part = List.copyOf(own.subList(start, end));
      send(from, new MembershipMessage.BucketRecords(table.self(), part, true), actions);
    }
  }

  private void sendNewerRecords(
      VmId from, MembershipMessage.BucketRecords bucket, List<MembershipAction> actions) {
    if (!bucket.isResponse()) {
      return;
    }
    List<MemberRecord> newer = new ArrayList<>();
    for (MemberRecord theirs : bucket.records()) {
      MemberEntry own = table.get(theirs.vm());
      if (own != null && own.record().supersedes(theirs)) {
        newer.add(own.record());
      }
    }
    if (!newer.isEmpty()) {
      send(from, new MembershipMessage.BucketRecords(table.self(), newer, false), actions);
    }
  }

  private void applyVmList(List<ListedVm> vms) {
    Instant now = clock.instant();
    Set<VmId> listedVms = new HashSet<>();
    for (ListedVm listed : vms) {
      listedVms.add(listed.vm());
      table.addListed(listed, now);
    }
    table.pruneUnlisted(listedVms, now, DEAD_RETENTION);
  }

  private void leave(List<MembershipAction> actions) {
    MemberRecord self = table.self();
    if (self.status() == MemberStatus.LEAVING) {
      return;
    }
    table.setSelf(self.withStatus(MemberStatus.LEAVING, self.vm()), clock.instant());
    for (int count = 0; count < MAX_HELPERS; count++) {
      VmId peer = helperOrder.next(table, this::isPeer);
      if (peer != null) {
        ping(++lastSequence, peer, actions);
      }
    }
    publish(actions);
  }

  /**
   * Returns the records to piggyback on a message. A receiver that is not believed to be alive gets
   * its own record first, so that it can refute it.
   */
  private List<MemberRecord> piggybackedRecords(VmId receiver) {
    MemberEntry entry = table.get(receiver);
    boolean isReceiverNotAlive = entry != null && entry.record().status() != MemberStatus.ALIVE;
    List<MemberRecord> records = new ArrayList<>();
    if (isReceiverNotAlive) {
      records.add(entry.record());
    }
    records.addAll(table.takeUpdates(MembershipMessage.MAX_RECORDS - records.size()));
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

  private Duration randomFraction(Duration maximum) {
    return Duration.ofMillis(random.nextLong(maximum.toMillis()));
  }
}

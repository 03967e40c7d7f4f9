package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.membership.MemberRecord;
import org.mimosacleat.core.membership.MemberStatus;
import org.mimosacleat.core.membership.MembershipAction;
import org.mimosacleat.core.membership.MembershipInput;
import org.mimosacleat.core.membership.MembershipMessage;
import org.mimosacleat.core.membership.MembershipStateMachine;
import org.mimosacleat.core.membership.MembershipTimes;
import org.mimosacleat.core.time.PausedClock;

/**
 * An in-memory fleet in which only some members have a real {@link MembershipStateMachine}; the
 * others are stubs. A message to a stub is handled by a random real machine instead, so that each
 * real machine carries the load of one member of the whole fleet.
 */
final class MembershipFleet {
  static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  private final PausedClock clock = new PausedClock();
  private final List<MembershipStateMachine> machines = new ArrayList<>();
  private final Set<Integer> failed = new HashSet<>();
  private final Traffic traffic = new Traffic();
  private final int members;
  private final Random random;

  MembershipFleet(int members, int realMembers, long seed) {
    this.members = members;
    this.random = new Random(seed);
    for (int index = 0; index < realMembers; index++) {
      machines.add(
          new MembershipStateMachine(
              FleetNames.record(index, 1),
              clock,
              new Random(random.nextLong()),
              MembershipTimes.STANDARD));
    }
    machines.forEach(
        machine -> machine.step(new MembershipInput.VmListRead(FleetNames.listed(members))));
  }

  Traffic traffic() {
    return traffic;
  }

  List<MembershipStateMachine> machines() {
    return machines;
  }

  void fail(int index) {
    failed.add(index);
  }

  /** Simulates the restart of a stub, which pings a real machine with its new record. */
  void restartStub(long incarnation) {
    int index = machines.size() + random.nextInt(members - machines.size());
    MemberRecord record = FleetNames.record(index, incarnation);
    step(
        random.nextInt(machines.size()),
        new MembershipInput.Received(new MembershipMessage.Ping(record, 0, List.of(record))));
  }

  void run(Duration duration) {
    for (long tick = 0; tick < duration.dividedBy(TICK_INTERVAL); tick++) {
      clock.advance(TICK_INTERVAL);
      for (int index = 0; index < machines.size(); index++) {
        step(index, new MembershipInput.Tick());
      }
    }
  }

  /**
   * Runs until every live real machine regards all failed members as dead, or until the timeout.
   */
  Duration runUntilFailuresDetected(Duration timeout) {
    Duration elapsed = Duration.ZERO;
    while (!areFailuresDetected() && elapsed.compareTo(timeout) < 0) {
      run(TICK_INTERVAL);
      elapsed = elapsed.plus(TICK_INTERVAL);
    }
    return elapsed;
  }

  private boolean areFailuresDetected() {
    for (int index = 0; index < machines.size(); index++) {
      if (!failed.contains(index) && !detectedFailures(machines.get(index))) {
        return false;
      }
    }
    return true;
  }

  private boolean detectedFailures(MembershipStateMachine machine) {
    return failed.stream().noneMatch(index -> machine.view().isLive(FleetNames.vm(index)));
  }

  private void step(int index, MembershipInput input) {
    if (failed.contains(index)) {
      return;
    }
    long start = ProcessorTime.now();
    List<MembershipAction> actions = machines.get(index).step(input);
    traffic.addNanoseconds(ProcessorTime.now() - start);
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        traffic.add(MessageSize.of(send.message()));
        deliver(send.to(), send.message());
      }
    }
  }

  private void deliver(VmId to, MembershipMessage message) {
    int index = Integer.parseInt(to.value().substring("entry-".length()));
    if (index < machines.size()) {
      step(index, new MembershipInput.Received(message));
      return;
    }
    int substitute = random.nextInt(machines.size());
    switch (message) {
      case MembershipMessage.Ping ping -> acknowledgeForStub(index, substitute, ping);
      case MembershipMessage.CompareDigest compare ->
          step(substitute, new MembershipInput.Received(compare));
      case MembershipMessage.Acknowledgement answer -> {}
      case MembershipMessage.IndirectPing ping -> {}
      case MembershipMessage.BucketRecords bucket -> {}
    }
  }

  private void acknowledgeForStub(int stub, int substitute, MembershipMessage.Ping ping) {
    step(substitute, new MembershipInput.Received(ping));
    MemberRecord known = machines.get(substitute).view().member(FleetNames.vm(stub)).orElseThrow();
    MemberRecord sender =
        known.status() == MemberStatus.ALIVE ? known : known.withIncarnation(known.incarnation());
    int origin = Integer.parseInt(ping.sender().vm().value().substring("entry-".length()));
    step(
        origin,
        new MembershipInput.Received(
            new MembershipMessage.Acknowledgement(sender, ping.sequence(), List.of())));
  }
}

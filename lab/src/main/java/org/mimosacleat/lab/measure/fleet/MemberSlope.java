package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.mimosacleat.core.membership.MembershipInput;
import org.mimosacleat.core.membership.MembershipStateMachine;
import org.mimosacleat.core.membership.MembershipTimes;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.lab.measure.Reading;

/** What membership costs a node, at several sizes of the fleet. */
final class MemberSlope {
  private static final List<Integer> SIZES = List.of(50, 200, 800, 3_200, FullSize.NODES);
  private static final List<Integer> DETECTION_SIZES = List.of(50, 200, 800);
  private static final int REAL_MEMBERS = 16;
  private static final Duration WARM_UP = Duration.ofSeconds(60);
  private static final Duration MEASURED = Duration.ofSeconds(120);
  private static final Duration LONGEST_DETECTION = Duration.ofSeconds(180);
  private static final int ZONES = 8;

  private final List<Reading> readings = new ArrayList<>();
  private final List<Slope.Point> memory = new ArrayList<>();
  private final long seed;
  private double bytesAtFullSize;
  private double processorAtFullSize;

  MemberSlope(long seed) {
    this.seed = seed;
  }

  List<Reading> measure() {
    for (int size : SIZES) {
      measureSteady(size);
      measureMemory(size);
    }
    for (int size : DETECTION_SIZES) {
      measureDetection(size, 1);
      measureDetection(size, size / ZONES);
    }
    Slope slope = Slope.fit(memory);
    readings.add(reading("memory for each further member", "slope", "bytes", slope.perUnit()));
    return readings;
  }

  double bytesPerSecond() {
    return bytesAtFullSize;
  }

  double processorPercent() {
    return processorAtFullSize;
  }

  double megabytes() {
    return Slope.fit(memory).at(FullSize.NODES) / 1e6;
  }

  private void measureSteady(int size) {
    MembershipFleet fleet = new MembershipFleet(size, REAL_MEMBERS, seed);
    fleet.run(WARM_UP);
    fleet.traffic().clear();
    double restarts = (double) FullSize.RESTARTS_PER_DAY * size / FullSize.NODES;
    double perSecond = restarts / FullSize.SECONDS_PER_DAY;
    double due = 0;
    long incarnation = 2;
    for (long second = 0; second < MEASURED.toSeconds(); second++) {
      due += perSecond;
      while (due >= 1) {
        due--;
        fleet.restartStub(incarnation++);
      }
      fleet.run(Duration.ofSeconds(1));
    }
    double nodeSeconds = REAL_MEMBERS * MEASURED.toSeconds();
    bytesAtFullSize = fleet.traffic().bytes() / nodeSeconds;
    processorAtFullSize = fleet.traffic().nanoseconds() / nodeSeconds / 1e7;
    String variant = size + " members";
    double messages = fleet.traffic().messages() / nodeSeconds;
    readings.add(reading("membership messages sent by a node", variant, "1/s", messages));
    readings.add(reading("membership bytes sent by a node", variant, "B/s", bytesAtFullSize));
    readings.add(reading("largest membership message", variant, "B", fleet.traffic().largest()));
    readings.add(reading("membership processor time", variant, "% of a core", processorAtFullSize));
  }

  private void measureMemory(int size) {
    long bytes = Heap.bytesOf(() -> machine(size));
    memory.add(new Slope.Point(size, bytes));
    readings.add(reading("membership memory", size + " members", "kB", bytes / 1e3));
  }

  private Object machine(int size) {
    MembershipStateMachine machine =
        new MembershipStateMachine(
            FleetNames.record(0, 1), new PausedClock(), new Random(seed), MembershipTimes.STANDARD);
    machine.step(new MembershipInput.VmListRead(FleetNames.listed(size)));
    machine.step(new MembershipInput.Tick());
    return machine;
  }

  private void measureDetection(int size, int failures) {
    MembershipFleet fleet = new MembershipFleet(size, size, seed);
    fleet.run(Duration.ofSeconds(20));
    fleet.traffic().clear();
    for (int failure = 0; failure < failures; failure++) {
      fleet.fail(failure * ZONES % size);
    }
    Duration known = fleet.runUntilFailuresAreKnown(LONGEST_DETECTION);
    double bytes = fleet.traffic().bytes() / (double) size / (known.toMillis() / 1e3);
    String variant = size + " members, " + (failures == 1 ? "one fails" : "a zone fails");
    readings.add(reading("failure known by every member", variant, "s", known.toMillis() / 1e3));
    readings.add(reading("bytes sent by a node meanwhile", variant, "B/s", bytes));
  }

  private static Reading reading(String measure, String variant, String unit, double value) {
    return new Reading(measure, variant, unit, value, "");
  }
}

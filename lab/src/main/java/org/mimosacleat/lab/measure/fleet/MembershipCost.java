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

/** Measures the cost of membership per node at several sizes of the fleet. */
final class MembershipCost {
  private static final List<Integer> SIZES = List.of(50, 200, 800, 3_200, FullSize.NODES);
  private static final List<Integer> DETECTION_SIZES = List.of(50, 200, 800);
  private static final int REAL_MEMBERS = 16;
  private static final Duration WARM_UP = Duration.ofSeconds(60);
  private static final Duration MEASUREMENT_PERIOD = Duration.ofSeconds(120);
  private static final Duration DETECTION_TIMEOUT = Duration.ofSeconds(180);
  private static final int ZONES = 8;

  private final List<Reading> readings = new ArrayList<>();
  private final List<LinearFit.Point> memoryPoints = new ArrayList<>();
  private final long seed;
  private double bytesAtFullSize;
  private double processorAtFullSize;

  MembershipCost(long seed) {
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
    LinearFit fit = LinearFit.fit(memoryPoints);
    readings.add(reading("memory for each further member", "slope", "bytes", fit.slope()));
    return readings;
  }

  double bytesPerSecond() {
    return bytesAtFullSize;
  }

  double processorPercent() {
    return processorAtFullSize;
  }

  double megabytes() {
    return LinearFit.fit(memoryPoints).valueAt(FullSize.NODES) / 1e6;
  }

  private void measureSteady(int size) {
    MembershipFleet fleet = new MembershipFleet(size, REAL_MEMBERS, seed);
    fleet.run(WARM_UP);
    fleet.traffic().clear();
    double restarts = (double) FullSize.RESTARTS_PER_DAY * size / FullSize.NODES;
    double restartsPerSecond = restarts / FullSize.SECONDS_PER_DAY;
    double restartsDue = 0;
    long incarnation = 2;
    for (long second = 0; second < MEASUREMENT_PERIOD.toSeconds(); second++) {
      restartsDue += restartsPerSecond;
      while (restartsDue >= 1) {
        restartsDue--;
        fleet.restartStub(incarnation++);
      }
      fleet.run(Duration.ofSeconds(1));
    }
    double nodeSeconds = REAL_MEMBERS * MEASUREMENT_PERIOD.toSeconds();
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
    memoryPoints.add(new LinearFit.Point(size, bytes));
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
    Duration detectionTime = fleet.runUntilFailuresDetected(DETECTION_TIMEOUT);
    double bytes = fleet.traffic().bytes() / (double) size / (detectionTime.toMillis() / 1e3);
    String variant = size + " members, " + (failures == 1 ? "one fails" : "a zone fails");
    readings.add(
        reading("failure known by every member", variant, "s", detectionTime.toMillis() / 1e3));
    readings.add(reading("bytes sent by a node meanwhile", variant, "B/s", bytes));
  }

  private static Reading reading(String measure, String variant, String unit, double value) {
    return new Reading(measure, variant, unit, value, "");
  }
}

package org.mimosacleat.lab.measure.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.mimosacleat.core.gossip.ListDelta;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.lab.measure.Reading;

/** Measures the cost of a list change per node, and the time until it is applied on every node. */
final class ListChangeCost {
  private static final List<Integer> SIZES = List.of(50, 200, 800, 3_200);
  private static final int LIST_ENTRIES = 100;
  private static final int CHANGES = 5;
  private static final Duration NETWORK_LATENCY = Duration.ofMillis(40);
  private static final Duration IDLE_PERIOD = Duration.ofSeconds(20);
  private static final int APPLICATIONS = 200;

  private final List<Reading> readings = new ArrayList<>();
  private final List<LinearFit.Point> disseminationPoints = new ArrayList<>();
  private final long seed;
  private double bytesPerChange;
  private double idleBytesPerSecond;
  private double millisecondsPerChange;

  ListChangeCost(long seed) {
    this.seed = seed;
  }

  List<Reading> measure() {
    for (int size : SIZES) {
      measureSize(size);
    }
    measureApplication();
    return readings;
  }

  /** Returns the bytes per second that a node sends at the given rate of changes. */
  double bytesPerSecond(double changesPerSecond) {
    return idleBytesPerSecond + bytesPerChange * changesPerSecond;
  }

  /** Returns the processor time per change of a list of the full size. */
  double millisecondsPerChange() {
    return millisecondsPerChange;
  }

  /**
   * Returns the time until every node at the full size has applied a change, extrapolated linearly
   * over the logarithm of the fleet size.
   */
  double secondsAtFullSize() {
    return LinearFit.fit(disseminationPoints).valueAt(Math.log10(FullSize.NODES));
  }

  private void measureSize(int size) {
    DisseminationFleet fleet =
        new DisseminationFleet(size, LIST_ENTRIES, NETWORK_LATENCY, 0.01, seed);
    fleet.traffic().clear();
    fleet.run(IDLE_PERIOD);
    idleBytesPerSecond = fleet.traffic().bytes() / (double) size / IDLE_PERIOD.toSeconds();
    String variant = size + " members";
    readings.add(
        reading("bytes sent by a node without changes", variant, "B/s", idleBytesPerSecond));
    long bytes = 0;
    long messages = 0;
    double longest = 0;
    for (int change = 0; change < CHANGES; change++) {
      fleet.traffic().clear();
      Duration disseminationTime = fleet.acceptChange();
      longest = Math.max(longest, disseminationTime.toMillis() / 1e3);
      bytes += fleet.traffic().bytes();
      messages += fleet.traffic().messages();
    }
    bytesPerChange = bytes / (double) size / CHANGES;
    disseminationPoints.add(new LinearFit.Point(Math.log10(size), longest));
    double sent = messages / (double) size / CHANGES;
    readings.add(reading("messages sent by a node for a change", variant, "", sent));
    readings.add(reading("bytes sent by a node for a change", variant, "B", bytesPerChange));
    readings.add(reading("change in force everywhere, longest", variant, "s", longest));
  }

  private void measureApplication() {
    String line = "customer-0000000 = plan-silver\n";
    String text = line.repeat((int) (FullSize.LIST_BYTES / line.length()));
    PublishedList before = list(1, text);
    PublishedList after = list(2, text + "customer-new = plan-gold\n");
    applyRepeatedly(before, after);
    long start = ProcessorTime.now();
    applyRepeatedly(before, after);
    millisecondsPerChange = (ProcessorTime.now() - start) / 1e6 / APPLICATIONS;
    readings.add(
        reading("change worked out and applied", "list of 1 MB", "ms", millisecondsPerChange));
  }

  private static void applyRepeatedly(PublishedList before, PublishedList after) {
    for (int application = 0; application < APPLICATIONS; application++) {
      if (ListDelta.between(before, after).applyTo(before).isEmpty()) {
        throw new IllegalStateException(
            "list delta does not apply to the list that it was computed from");
      }
    }
  }

  private static PublishedList list(long version, String text) {
    return new PublishedList(
        ListKind.PLANS, new ListVersion(version), "writer", "me", Instant.EPOCH, "", text);
  }

  private static Reading reading(String measure, String variant, String unit, double value) {
    return new Reading(measure, variant, unit, value, "");
  }
}

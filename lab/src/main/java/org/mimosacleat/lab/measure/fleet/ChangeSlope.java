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

/** What a change of a list costs a node, and how long it takes to every node. */
final class ChangeSlope {
  private static final List<Integer> SIZES = List.of(50, 200, 800, 3_200);
  private static final int ENTRIES = 100;
  private static final int CHANGES = 5;
  private static final Duration LATENCY = Duration.ofMillis(40);
  private static final Duration QUIET = Duration.ofSeconds(20);
  private static final int APPLICATIONS = 200;

  private final List<Reading> readings = new ArrayList<>();
  private final List<Slope.Point> seconds = new ArrayList<>();
  private final long seed;
  private double bytesPerChange;
  private double quietBytes;
  private double millisecondsPerChange;

  ChangeSlope(long seed) {
    this.seed = seed;
  }

  List<Reading> measure() {
    for (int size : SIZES) {
      measureSize(size);
    }
    measureApplication();
    return readings;
  }

  /** Returns the bytes a second that a node sends at the given changes a second. */
  double bytesPerSecond(double changesPerSecond) {
    return quietBytes + bytesPerChange * changesPerSecond;
  }

  /** Returns the processor time for a change of a list of the full size. */
  double millisecondsPerChange() {
    return millisecondsPerChange;
  }

  /** Returns the time to every node at the full size, from the line over the logarithm. */
  double secondsAtFullSize() {
    return Slope.fit(seconds).at(Math.log10(FullSize.NODES));
  }

  private void measureSize(int size) {
    SpreadFleet fleet = new SpreadFleet(size, ENTRIES, LATENCY, 0.01, seed);
    fleet.traffic().clear();
    fleet.run(QUIET);
    quietBytes = fleet.traffic().bytes() / (double) size / QUIET.toSeconds();
    String variant = size + " members";
    readings.add(reading("bytes sent by a node without changes", variant, "B/s", quietBytes));
    long bytes = 0;
    long messages = 0;
    double longest = 0;
    for (int change = 0; change < CHANGES; change++) {
      fleet.traffic().clear();
      Duration passed = fleet.acceptChange();
      longest = Math.max(longest, passed.toMillis() / 1e3);
      bytes += fleet.traffic().bytes();
      messages += fleet.traffic().messages();
    }
    bytesPerChange = bytes / (double) size / CHANGES;
    seconds.add(new Slope.Point(Math.log10(size), longest));
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
    run(before, after);
    long start = ProcessorTime.now();
    run(before, after);
    millisecondsPerChange = (ProcessorTime.now() - start) / 1e6 / APPLICATIONS;
    readings.add(
        reading("change worked out and applied", "list of 1 MB", "ms", millisecondsPerChange));
  }

  private static void run(PublishedList before, PublishedList after) {
    for (int application = 0; application < APPLICATIONS; application++) {
      if (ListDelta.between(before, after).applyTo(before).isEmpty()) {
        throw new IllegalStateException("the change does not apply to its own base");
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

package org.mimosacleat.lab.measure.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures the cost per node of membership, groups, sessions and list changes at several sizes, and
 * extrapolates it to the size that the fleet is designed for.
 *
 * <p>The production algorithms run in memory on one thread, without a network or a store. This
 * takes a few minutes.
 */
public final class CapacityMeasurement {
  private final long seed;

  /** Creates a measurement whose random numbers derive from {@code seed}. */
  public CapacityMeasurement(long seed) {
    this.seed = seed;
  }

  /** Runs the measurement and prints one figure per line. */
  public void print(PrintStream out) {
    for (Reading reading : measure()) {
      String goal = reading.goal().isEmpty() ? "" : "  (goal " + reading.goal() + ")";
      out.printf(
          Locale.ROOT,
          "%-50s %-40s %14.3f %s%s%n",
          reading.measure(),
          reading.variant(),
          reading.value(),
          reading.unit(),
          goal);
    }
  }

  /** Returns the measured costs and their extrapolation to the full size. */
  public List<Reading> measure() {
    MembershipCost members = new MembershipCost(seed);
    GroupCost groups = new GroupCost();
    SessionCost sessions = new SessionCost();
    ListChangeCost changes = new ListChangeCost(seed);
    List<Reading> readings = new ArrayList<>();
    readings.addAll(groups.measure());
    readings.addAll(sessions.measure());
    readings.addAll(changes.measure());
    readings.addAll(members.measure());
    readings.addAll(atFullSize(members, groups, sessions, changes));
    return readings;
  }

  private static List<Reading> atFullSize(
      MembershipCost members, GroupCost groups, SessionCost sessions, ListChangeCost changes) {
    double groupsPerNode = (double) FullSize.DATABASES / FullSize.NODES;
    double changesPerSecond = (double) FullSize.LIST_CHANGES_PER_DAY / FullSize.SECONDS_PER_DAY;
    double statements = (double) FullSize.STATEMENTS_PER_SECOND / FullSize.NODES;
    double sessionsPerNode = (double) FullSize.SESSIONS / FullSize.NODES;
    double leaseWrites = FullSize.RESTARTS_PER_DAY * groupsPerNode / FullSize.SECONDS_PER_DAY;
    List<Reading> readings = new ArrayList<>();
    readings.add(fullSizeReading("membership, bytes sent", "B/s", members.bytesPerSecond(), ""));
    readings.add(
        fullSizeReading("homes, bytes sent", "B/s", groupsPerNode * groups.bytesPerSecond(), ""));
    readings.add(
        fullSizeReading("lists, bytes sent", "B/s", changes.bytesPerSecond(changesPerSecond), ""));
    double bytes =
        members.bytesPerSecond()
            + groupsPerNode * groups.bytesPerSecond()
            + changes.bytesPerSecond(changesPerSecond);
    readings.add(fullSizeReading("bytes sent for control", "B/s", bytes, "12,000 B/s"));
    double listPercent = changes.millisecondsPerChange() * changesPerSecond / 10;
    double percent =
        members.processorPercent()
            + groupsPerNode * groups.processorPercent()
            + groups.placementPercent()
            + listPercent;
    readings.add(
        fullSizeReading("placement, processor time", "% of a core", groups.placementPercent(), ""));
    readings.add(fullSizeReading("processor time for control", "% of a core", percent, "4.5"));
    double positionPercent = statements * sessions.nanosecondsPerStatement() / 1e7;
    readings.add(
        fullSizeReading("processor time for positions", "% of a core", positionPercent, ""));
    readings.add(fullSizeReading("membership memory", "MB", members.megabytes(), ""));
    readings.add(fullSizeReading("placement memory", "MB", groups.placementMegabytes(), ""));
    readings.add(fullSizeReading("position memory", "MB", sessions.megabytes(sessionsPerNode), ""));
    double lists = 4 * FullSize.LIST_BYTES / 1e6;
    double memory =
        members.megabytes()
            + groups.placementMegabytes()
            + sessions.megabytes(sessionsPerNode)
            + lists;
    readings.add(fullSizeReading("memory for control with 4 MB of lists", "MB", memory, "128"));
    readings.add(
        fullSizeReading("lease writes of the fleet", "1/s", leaseWrites, "several hundred"));
    readings.add(
        fullSizeReading("change in force everywhere", "s", changes.secondsAtFullSize(), "19 s"));
    return readings;
  }

  private static Reading fullSizeReading(String measure, String unit, double value, String goal) {
    return new Reading(measure, "worked out for 6,500 nodes", unit, value, goal);
  }
}

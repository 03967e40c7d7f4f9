package org.mimosacleat.lab.measure.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures what membership, groups, sessions and changes cost a node at several sizes, and works
 * out the cost at the size that the fleet is designed for.
 *
 * <p>Call {@link #print} from a command; it drives the decisions in memory on one thread, without
 * network or store, and takes a few minutes.
 */
public final class CapacitySlopes {
  private final long seed;

  /** Makes measurements whose random choices come from {@code seed}. */
  public CapacitySlopes(long seed) {
    this.seed = seed;
  }

  /** Prints all figures, one a line. */
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

  /** Measures the slopes and the figures at full size. */
  public List<Reading> measure() {
    MemberSlope members = new MemberSlope(seed);
    GroupSlope groups = new GroupSlope();
    SessionSlope sessions = new SessionSlope();
    ChangeSlope changes = new ChangeSlope(seed);
    List<Reading> readings = new ArrayList<>();
    readings.addAll(groups.measure());
    readings.addAll(sessions.measure());
    readings.addAll(changes.measure());
    readings.addAll(members.measure());
    readings.addAll(atFullSize(members, groups, sessions, changes));
    return readings;
  }

  private static List<Reading> atFullSize(
      MemberSlope members, GroupSlope groups, SessionSlope sessions, ChangeSlope changes) {
    double groupsPerNode = (double) FullSize.DATABASES / FullSize.NODES;
    double changesPerSecond = (double) FullSize.LIST_CHANGES_PER_DAY / FullSize.SECONDS_PER_DAY;
    double statements = (double) FullSize.STATEMENTS_PER_SECOND / FullSize.NODES;
    double sessionsPerNode = (double) FullSize.SESSIONS / FullSize.NODES;
    double leaseWrites = FullSize.RESTARTS_PER_DAY * groupsPerNode / FullSize.SECONDS_PER_DAY;
    List<Reading> readings = new ArrayList<>();
    readings.add(full("membership, bytes sent", "B/s", members.bytesPerSecond(), ""));
    readings.add(full("homes, bytes sent", "B/s", groupsPerNode * groups.bytesPerSecond(), ""));
    readings.add(full("lists, bytes sent", "B/s", changes.bytesPerSecond(changesPerSecond), ""));
    double bytes =
        members.bytesPerSecond()
            + groupsPerNode * groups.bytesPerSecond()
            + changes.bytesPerSecond(changesPerSecond);
    readings.add(full("bytes sent for control", "B/s", bytes, "12,000 B/s"));
    double listPercent = changes.millisecondsPerChange() * changesPerSecond / 10;
    double percent =
        members.processorPercent()
            + groupsPerNode * groups.processorPercent()
            + groups.placementPercent()
            + listPercent;
    readings.add(full("placement, processor time", "% of a core", groups.placementPercent(), ""));
    readings.add(full("processor time for control", "% of a core", percent, "4.5"));
    double positionPercent = statements * sessions.nanosecondsPerStatement() / 1e7;
    readings.add(full("processor time for positions", "% of a core", positionPercent, ""));
    readings.add(full("membership memory", "MB", members.megabytes(), ""));
    readings.add(full("placement memory", "MB", groups.placementMegabytes(), ""));
    readings.add(full("position memory", "MB", sessions.megabytes(sessionsPerNode), ""));
    double lists = 4 * FullSize.LIST_BYTES / 1e6;
    double memory =
        members.megabytes()
            + groups.placementMegabytes()
            + sessions.megabytes(sessionsPerNode)
            + lists;
    readings.add(full("memory for control with 4 MB of lists", "MB", memory, "128"));
    readings.add(full("lease writes of the fleet", "1/s", leaseWrites, "several hundred"));
    readings.add(full("change in force everywhere", "s", changes.secondsAtFullSize(), "19 s"));
    return readings;
  }

  private static Reading full(String measure, String unit, double value, String goal) {
    return new Reading(measure, "worked out for 6,500 nodes", unit, value, goal);
  }
}

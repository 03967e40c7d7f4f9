package org.mimosacleat.lab.command;

import java.io.PrintWriter;
import java.time.Duration;
import org.mimosacleat.lab.demo.DemoReport;
import org.mimosacleat.lab.workload.ActionReport;
import org.mimosacleat.lab.workload.Violations;

/** Prints the results of a demonstration as a table. */
final class DemoTable {
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private DemoTable() {}

  static void print(DemoReport report, PrintWriter out) {
    out.printf("%n%s (primary %s killed)%n", report.name(), report.killedPrimary());
    out.printf(
        "  %-10s %8s %8s %8s %10s %10s%n",
        "request", "served", "refused", "unknown", "median ms", "p99 ms");
    for (ActionReport action : report.workload().actions()) {
      out.printf(
          "  %-10s %8d %8d %8d %10.1f %10.1f%n",
          action.name(),
          action.served(),
          action.refused(),
          action.unknown(),
          milliseconds(action.median()),
          milliseconds(action.percentile99()));
    }
    out.printf(
        "  longest time without an acknowledged write: %.0f ms%n",
        milliseconds(report.workload().longestWriteGap()));
    Violations violations = report.workload().violations();
    out.printf(
        "  lost writes %d, repeated charges %d, ran though refused %d, torn %d, stale reads %d%n",
        violations.lostWrites(),
        violations.repeatedWrites(),
        violations.ranThoughRefused(),
        violations.tornTransactions(),
        violations.staleReads());
  }

  private static double milliseconds(Duration duration) {
    return duration.toNanos() / NANOSECONDS_PER_MILLISECOND;
  }
}

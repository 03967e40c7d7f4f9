package org.mimosacleat.lab.measure.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;
import org.mimosacleat.core.admission.AdmissionController;
import org.mimosacleat.core.admission.Allowance;
import org.mimosacleat.core.admission.HomeShares;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.admission.Resource;
import org.mimosacleat.core.admission.ShareCoordinators;
import org.mimosacleat.core.admission.ShareReport;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures how well a customer's rate holds over several homes while its demand, at twice the
 * allowance, moves from home to home.
 */
public final class RoamingExperiment implements Experiment {
  private static final CustomerId CUSTOMER = new CustomerId("customer");
  private static final VmId COORDINATOR = new VmId("coordinator");
  private static final int RATE = 1000;
  private static final int ATTEMPTS_PER_MILLISECOND = 2;
  private static final int MILLISECONDS = 120_000;
  private static final int ROAM_MEAN = 3_000;
  private static final int ELSEWHERE = 20;
  private static final int SECOND = 1_000;
  private static final int TEN_SECONDS = 10_000;

  /** Needs nothing. */
  public RoamingExperiment() {}

  private enum Division {
    SHARES_BY_DEMAND("shares by demand"),
    EQUAL_SPLIT("equal static split"),
    NO_DIVISION("whole allowance at each home");

    private final String label;

    Division(String label) {
      this.label = label;
    }
  }

  @Override
  public String name() {
    return "roaming-allowance";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    return Stream.of(Division.values())
        .flatMap(division -> readings(division, deployment, seed).stream())
        .toList();
  }

  private static List<Reading> readings(Division division, Deployment deployment, long seed) {
    LongAdder reports = new LongAdder();
    int[] admitted = admitted(division, deployment.groups(), seed, reports);
    double reportsPerSecond =
        (double) reports.sum() / deployment.groups() / (MILLISECONDS / SECOND);
    double second = over(busiest(admitted, SECOND), RATE);
    double tenSeconds = over(busiest(admitted, TEN_SECONDS), 10 * RATE);
    double used = 100.0 * Arrays.stream(admitted).sum() / (RATE * (MILLISECONDS / SECOND));
    return List.of(
        new Reading("over-admission in the worst 1 s", division.label, "%", second, "<= 5"),
        new Reading("over-admission in the worst 10 s", division.label, "%", tenSeconds, "<= 0"),
        new Reading("part of the allowance received", division.label, "%", used, ""),
        new Reading(
            "reports of a home for a customer", division.label, "1/s", reportsPerSecond, ""));
  }

  private static double over(long count, long limit) {
    return 100.0 * (count - limit) / limit;
  }

  private static long busiest(int[] admitted, int window) {
    long sum = 0;
    long busiest = 0;
    for (int at = 0; at < admitted.length; at++) {
      sum += admitted[at] - (at >= window ? admitted[at - window] : 0);
      busiest = Math.max(busiest, sum);
    }
    return busiest;
  }

  private static int[] admitted(Division division, int homes, long seed, LongAdder reportCount) {
    SplittableRandom random = new SplittableRandom(seed);
    PausedClock clock = new PausedClock();
    List<AdmissionController> gates = new ArrayList<>();
    List<HomeShares> shares = new ArrayList<>();
    List<VmId> vms = new ArrayList<>();
    for (int number = 0; number < homes; number++) {
      vms.add(new VmId("home-" + number));
      AdmissionController gate = new AdmissionController(clock);
      gate.setShare(CUSTOMER, Resource.CONCURRENT_STATEMENTS, RATE);
      long rate = division == Division.EQUAL_SPLIT ? RATE / homes : RATE;
      gate.setShare(
          CUSTOMER,
          Resource.STATEMENTS_PER_SECOND,
          division == Division.SHARES_BY_DEMAND ? 0 : rate);
      gates.add(gate);
      HomeShares share = new HomeShares(vms.getLast(), gate, clock);
      share.add(CUSTOMER);
      shares.add(share);
    }
    ShareCoordinators coordinators = new ShareCoordinators(COORDINATOR, clock);
    coordinators.setCustomer(CUSTOMER, new Allowance(1, RATE, RATE, RATE), Set.copyOf(vms));
    int[] admitted = new int[MILLISECONDS];
    int busy = 0;
    for (int millisecond = 0; millisecond < MILLISECONDS; millisecond++) {
      clock.advance(Duration.ofMillis(1));
      busy = random.nextInt(ROAM_MEAN) == 0 ? random.nextInt(homes) : busy;
      for (int attempt = 0; attempt < ATTEMPTS_PER_MILLISECOND; attempt++) {
        int home = random.nextInt(ELSEWHERE) == 0 ? random.nextInt(homes) : busy;
        boolean in = gates.get(home).admit(CUSTOMER).peek(Permit::close).isRight();
        admitted[millisecond] += in ? 1 : 0;
      }
      boolean due = millisecond % HomeShares.REPORT_INTERVAL.toMillis() == 0;
      if (due && division == Division.SHARES_BY_DEMAND) {
        shares.forEach(share -> exchange(share, coordinators, reportCount));
      }
    }
    return admitted;
  }

  private static void exchange(
      HomeShares share, ShareCoordinators coordinators, LongAdder reportCount) {
    for (ShareReport report : share.dueReports(customer -> COORDINATOR)) {
      reportCount.increment();
      coordinators.handleReport(report).ifPresent(share::accept);
    }
  }
}

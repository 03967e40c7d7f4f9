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
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures how accurately a customer's rate limit is enforced across several homes while its
 * demand, at twice the allowance, moves from home to home.
 */
public final class RoamingExperiment implements Experiment {
  private static final TeamId CUSTOMER = new TeamId("customer");
  private static final VmId COORDINATOR = new VmId("coordinator");
  private static final int RATE = 1000;
  private static final int ATTEMPTS_PER_MILLISECOND = 2;
  private static final int RUN_MILLISECONDS = 120_000;
  private static final int MEAN_STAY_MILLISECONDS = 3_000;
  private static final int ATTEMPTS_PER_RANDOM_HOME = 20;
  private static final int SECOND_MILLISECONDS = 1_000;
  private static final int TEN_SECONDS_MILLISECONDS = 10_000;

  /** Creates the experiment. */
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
    int[] admitted = simulate(division, deployment.groups(), seed, reports);
    double reportsPerSecond =
        (double) reports.sum() / deployment.groups() / (RUN_MILLISECONDS / SECOND_MILLISECONDS);
    double worstSecond = excessPercent(maxInWindow(admitted, SECOND_MILLISECONDS), RATE);
    double worstTenSeconds =
        excessPercent(maxInWindow(admitted, TEN_SECONDS_MILLISECONDS), 10 * RATE);
    double used =
        100.0 * Arrays.stream(admitted).sum() / (RATE * (RUN_MILLISECONDS / SECOND_MILLISECONDS));
    return List.of(
        new Reading("over-admission in the worst 1 s", division.label, "%", worstSecond, "<= 5"),
        new Reading(
            "over-admission in the worst 10 s", division.label, "%", worstTenSeconds, "<= 0"),
        new Reading("part of the allowance received", division.label, "%", used, ""),
        new Reading(
            "reports of a home for a customer", division.label, "1/s", reportsPerSecond, ""));
  }

  private static double excessPercent(long count, long limit) {
    return 100.0 * (count - limit) / limit;
  }

  private static long maxInWindow(int[] admitted, int window) {
    long sum = 0;
    long maximum = 0;
    for (int millisecond = 0; millisecond < admitted.length; millisecond++) {
      sum += admitted[millisecond] - (millisecond >= window ? admitted[millisecond - window] : 0);
      maximum = Math.max(maximum, sum);
    }
    return maximum;
  }

  private static int[] simulate(Division division, int homes, long seed, LongAdder reportCount) {
    SplittableRandom random = new SplittableRandom(seed);
    PausedClock clock = new PausedClock();
    List<AdmissionController> controllers = new ArrayList<>();
    List<HomeShares> shares = new ArrayList<>();
    List<VmId> vms = new ArrayList<>();
    for (int number = 0; number < homes; number++) {
      vms.add(new VmId("home-" + number));
      AdmissionController controller = new AdmissionController(clock);
      controller.setShare(CUSTOMER, Resource.CONCURRENT_STATEMENTS, RATE);
      long rate = division == Division.EQUAL_SPLIT ? RATE / homes : RATE;
      controller.setShare(
          CUSTOMER,
          Resource.STATEMENTS_PER_SECOND,
          division == Division.SHARES_BY_DEMAND ? 0 : rate);
      controllers.add(controller);
      HomeShares share = new HomeShares(vms.getLast(), controller, clock);
      share.add(CUSTOMER);
      shares.add(share);
    }
    ShareCoordinators coordinators = new ShareCoordinators(COORDINATOR, clock);
    coordinators.setCustomer(CUSTOMER, new Allowance(1, RATE, RATE, RATE), Set.copyOf(vms));
    int[] admitted = new int[RUN_MILLISECONDS];
    int currentHome = 0;
    for (int millisecond = 0; millisecond < RUN_MILLISECONDS; millisecond++) {
      clock.advance(Duration.ofMillis(1));
      currentHome =
          random.nextInt(MEAN_STAY_MILLISECONDS) == 0 ? random.nextInt(homes) : currentHome;
      for (int attempt = 0; attempt < ATTEMPTS_PER_MILLISECOND; attempt++) {
        int home =
            random.nextInt(ATTEMPTS_PER_RANDOM_HOME) == 0 ? random.nextInt(homes) : currentHome;
        boolean accepted = controllers.get(home).admit(CUSTOMER).peek(Permit::close).isRight();
        admitted[millisecond] += accepted ? 1 : 0;
      }
      boolean reportDue = millisecond % HomeShares.REPORT_INTERVAL.toMillis() == 0;
      if (reportDue && division == Division.SHARES_BY_DEMAND) {
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

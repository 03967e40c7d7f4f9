package org.mimosacleat.lab.measure.load;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures how long short statements wait behind stragglers, which run 100 times longer and make up
 * 2% of the statements. The total load is 70%.
 */
public final class ShortBeforeLongExperiment implements Experiment {
  private static final long DURATION_NANOSECONDS = 600_000_000_000L;
  private static final double LOAD = 0.7;
  private static final double PINNED_SHARE = 0.2;
  private static final double NEW_FINGERPRINT_SHARE = 0.01;
  private static final String GOAL = "<= 3";

  /** Creates the experiment. */
  public ShortBeforeLongExperiment() {}

  @Override
  public String name() {
    return "short-before-long";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    readings.addAll(measureScenario("one instance", 1, deployment.slotsPerEndpoint(), 0, seed));
    readings.addAll(
        measureScenario(
            "group",
            deployment.endpointsPerGroup(),
            deployment.slotsPerEndpoint(),
            PINNED_SHARE,
            seed));
    return readings;
  }

  private static List<Reading> measureScenario(
      String scenario, int endpoints, int slots, double pinnedShare, long seed) {
    StragglerWorkload workload =
        new StragglerWorkload(endpoints * slots, LOAD, pinnedShare, NEW_FINGERPRINT_SHARE);
    List<Job> jobs = workload.jobs(seed, DURATION_NANOSECONDS);
    List<Job> withoutStragglers = jobs.stream().filter(job -> !job.straggler()).toList();
    double baselineP99 =
        new SlotRun(new EventQueue(), OrderedPolicy.firstInFirstOut(endpoints, slots))
            .run(withoutStragglers, DURATION_NANOSECONDS)
            .shortP99Milliseconds();
    List<Reading> readings = new ArrayList<>();
    readings.add(
        new Reading("p99 of short work, " + scenario, "no stragglers", "ms", baselineP99, ""));
    List<SchedulerPolicy> schedulerPolicies = new ArrayList<>();
    Function<EventQueue, SlotPolicy> scheduler =
        events -> {
          schedulerPolicies.add(new SchedulerPolicy(events, endpoints, slots));
          return schedulerPolicies.getFirst();
        };
    readings.addAll(measureVariant(scenario, "scheduler", scheduler, jobs, baselineP99, GOAL));
    readings.addAll(
        measureVariant(
            scenario,
            "first in, first out",
            events -> OrderedPolicy.firstInFirstOut(endpoints, slots),
            jobs,
            baselineP99,
            ""));
    readings.addAll(
        measureVariant(
            scenario,
            "shortest first by oracle",
            events -> OrderedPolicy.shortestFirst(endpoints, slots),
            jobs,
            baselineP99,
            ""));
    readings.addAll(
        measureVariant(
            scenario,
            "two queues by oracle",
            events -> OrderedPolicy.twoQueues(endpoints, slots),
            jobs,
            baselineP99,
            ""));
    readings.add(
        new Reading(
            "processor time of the decisions on a statement, " + scenario,
            "scheduler",
            "ns",
            schedulerPolicies.getFirst().nanosecondsPerStatement(),
            ""));
    return readings;
  }

  private static List<Reading> measureVariant(
      String scenario,
      String variant,
      Function<EventQueue, SlotPolicy> policy,
      List<Job> jobs,
      double baselineP99,
      String goal) {
    EventQueue events = new EventQueue();
    SlotRun run = new SlotRun(events, policy.apply(events)).run(jobs, DURATION_NANOSECONDS);
    double p99 = run.shortP99Milliseconds();
    return List.of(
        new Reading("p99 of short work, " + scenario, variant, "ms", p99, ""),
        new Reading(
            "p99 of short work over p99 without stragglers, " + scenario,
            variant,
            "x",
            p99 / baselineP99,
            goal),
        new Reading(
            "p99 wait of stragglers, " + scenario,
            variant,
            "ms",
            run.stragglerWaitP99Milliseconds(),
            ""),
        new Reading(
            "longest wait of a straggler, " + scenario,
            variant,
            "ms",
            run.stragglerWaitMaximumMilliseconds(),
            ""),
        new Reading("refused, " + scenario, variant, "%", run.refusedPercent(), ""));
  }
}

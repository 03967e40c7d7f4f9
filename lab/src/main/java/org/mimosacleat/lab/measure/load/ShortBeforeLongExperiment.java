package org.mimosacleat.lab.measure.load;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures how long short statements wait behind stragglers that run 100 times longer, make up 2%
 * of the statements, and bring the load to 70%.
 */
public final class ShortBeforeLongExperiment implements Experiment {
  private static final long DURATION = 600_000_000_000L;
  private static final double LOAD = 0.7;
  private static final double PINNED_SHARE = 0.2;
  private static final double UNSEEN_SHARE = 0.01;
  private static final String GOAL = "<= 3";

  /** Needs nothing. */
  public ShortBeforeLongExperiment() {}

  @Override
  public String name() {
    return "short-before-long";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    readings.addAll(scene("one instance", 1, deployment.slots(), 0, seed));
    readings.addAll(scene("group", deployment.instances(), deployment.slots(), PINNED_SHARE, seed));
    return readings;
  }

  private static List<Reading> scene(
      String scene, int instances, int slots, double pinnedShare, long seed) {
    StragglerWorkload workload =
        new StragglerWorkload(instances * slots, LOAD, pinnedShare, UNSEEN_SHARE);
    List<Job> jobs = workload.jobs(seed, DURATION);
    List<Job> withoutStragglers = jobs.stream().filter(job -> !job.straggler()).toList();
    double undisturbed =
        new SlotRun(new EventQueue(), OrderedPolicy.firstInFirstOut(instances, slots))
            .run(withoutStragglers, DURATION)
            .shortP99Milliseconds();
    List<Reading> readings = new ArrayList<>();
    readings.add(
        new Reading("p99 of short work, " + scene, "no stragglers", "ms", undisturbed, ""));
    List<SchedulerPolicy> measured = new ArrayList<>();
    Function<EventQueue, SlotPolicy> scheduler =
        events -> {
          measured.add(new SchedulerPolicy(events, instances, slots));
          return measured.getFirst();
        };
    readings.addAll(variant(scene, "scheduler", scheduler, jobs, undisturbed, GOAL));
    readings.addAll(
        variant(
            scene,
            "first in, first out",
            events -> OrderedPolicy.firstInFirstOut(instances, slots),
            jobs,
            undisturbed,
            ""));
    readings.addAll(
        variant(
            scene,
            "shortest first by oracle",
            events -> OrderedPolicy.shortestFirst(instances, slots),
            jobs,
            undisturbed,
            ""));
    readings.addAll(
        variant(
            scene,
            "two queues by oracle",
            events -> OrderedPolicy.twoQueues(instances, slots),
            jobs,
            undisturbed,
            ""));
    readings.add(
        new Reading(
            "processor time of the decisions on a statement, " + scene,
            "scheduler",
            "ns",
            measured.getFirst().nanosecondsPerStatement(),
            ""));
    return readings;
  }

  private static List<Reading> variant(
      String scene,
      String variant,
      Function<EventQueue, SlotPolicy> policy,
      List<Job> jobs,
      double undisturbed,
      String goal) {
    EventQueue events = new EventQueue();
    SlotRun run = new SlotRun(events, policy.apply(events)).run(jobs, DURATION);
    double p99 = run.shortP99Milliseconds();
    return List.of(
        new Reading("p99 of short work, " + scene, variant, "ms", p99, ""),
        new Reading(
            "p99 of short work over p99 without stragglers, " + scene,
            variant,
            "x",
            p99 / undisturbed,
            goal),
        new Reading(
            "p99 wait of stragglers, " + scene,
            variant,
            "ms",
            run.stragglerWaitP99Milliseconds(),
            ""),
        new Reading(
            "longest wait of a straggler, " + scene,
            variant,
            "ms",
            run.stragglerWaitMaximumMilliseconds(),
            ""),
        new Reading("refused, " + scene, variant, "%", run.refusedPercent(), ""));
  }
}

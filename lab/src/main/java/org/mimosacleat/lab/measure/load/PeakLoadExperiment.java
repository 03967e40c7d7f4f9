package org.mimosacleat.lab.measure.load;

import java.util.List;
import java.util.stream.Stream;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures service at peak load of a swing: demand rises from 30% to 300% of what a group's
 * endpoints can do within 2 seconds, stays for 8 seconds, and falls back.
 */
public final class PeakLoadExperiment implements Experiment {
  /** Needs nothing. */
  public PeakLoadExperiment() {}

  @Override
  public String name() {
    return "peak-load";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    int instances = deployment.instances();
    int slots = instances * deployment.slots();
    EventQueue scheduled = new EventQueue();
    SchedulerPolicy scheduler = new SchedulerPolicy(scheduled, instances, deployment.slots());
    PeakLoadRun ours = new PeakLoadRun(scheduled, scheduler, ProxyLimits.none(), slots, seed).run();
    PeakLoadRun unlimited =
        new PeakLoadRun(
                new EventQueue(),
                OrderedPolicy.firstInFirstOut(instances, deployment.slots()),
                ProxyLimits.none(),
                slots,
                seed)
            .run();
    int limit = Math.ceilDiv(2 * slots, deployment.proxies());
    PeakLoadRun fixed =
        new PeakLoadRun(
                new EventQueue(),
                OrderedPolicy.firstInFirstOut(instances, deployment.slots()),
                new ProxyLimits(deployment.proxies(), limit, seed),
                slots,
                seed)
            .run();
    return Stream.of(
            readings("scheduler", ours),
            readings("no admission control", unlimited),
            readings("fixed limit a proxy", fixed))
        .flatMap(List::stream)
        .toList();
  }

  private static List<Reading> readings(String variant, PeakLoadRun run) {
    PeakLoadClients clients = run.clients();
    return List.of(
        new Reading("goodput at peak load", variant, "%", clients.goodputPercent(), ">= 95"),
        new Reading(
            "least part of a guaranteed share",
            variant,
            "%",
            clients.leastSharePercent(),
            ">= 100"),
        new Reading("queue back to normal after", variant, "s", run.recoverySeconds(), "<= 2"),
        new Reading(
            "attempts a request in the 2 s after",
            variant,
            "",
            clients.attemptsPerRequestAfterPeak(),
            ""),
        new Reading(
            "slowest refusal once certain",
            variant,
            "ms",
            run.refusalDelayMilliseconds(),
            "<= 50"));
  }
}

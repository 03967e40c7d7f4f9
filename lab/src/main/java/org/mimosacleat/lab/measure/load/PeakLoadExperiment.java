package org.mimosacleat.lab.measure.load;

import java.util.List;
import java.util.stream.Stream;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures the service during a load peak: demand rises within 2 seconds from 30% to 300% of the
 * capacity of a group's endpoints, stays there for 8 seconds, and falls back.
 */
public final class PeakLoadExperiment implements Experiment {
  /** Creates the experiment. */
  public PeakLoadExperiment() {}

  @Override
  public String name() {
    return "peak-load";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    int endpoints = deployment.endpointsPerGroup();
    int slots = endpoints * deployment.slotsPerEndpoint();
    EventQueue schedulerEvents = new EventQueue();
    SchedulerPolicy schedulerPolicy =
        new SchedulerPolicy(schedulerEvents, endpoints, deployment.slotsPerEndpoint());
    PeakLoadRun schedulerRun =
        new PeakLoadRun(schedulerEvents, schedulerPolicy, ProxyLimits.unlimited(), slots, seed)
            .run();
    PeakLoadRun unlimitedRun =
        new PeakLoadRun(
                new EventQueue(),
                OrderedPolicy.firstInFirstOut(endpoints, deployment.slotsPerEndpoint()),
                ProxyLimits.unlimited(),
                slots,
                seed)
            .run();
    int limit = Math.ceilDiv(2 * slots, deployment.proxies());
    PeakLoadRun fixedLimitRun =
        new PeakLoadRun(
                new EventQueue(),
                OrderedPolicy.firstInFirstOut(endpoints, deployment.slotsPerEndpoint()),
                new ProxyLimits(deployment.proxies(), limit, seed),
                slots,
                seed)
            .run();
    return Stream.of(
            readings("scheduler", schedulerRun),
            readings("no admission control", unlimitedRun),
            readings("fixed limit a proxy", fixedLimitRun))
        .flatMap(List::stream)
        .toList();
  }

  private static List<Reading> readings(String variant, PeakLoadRun run) {
    PeakLoadClients clients = run.clients();
    return List.of(
        new Reading("goodput at peak load", variant, "%", clients.goodputPercent(), ">= 95"),
        new Reading(
            "least part of a guaranteed share", variant, "%", clients.minSharePercent(), ">= 100"),
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

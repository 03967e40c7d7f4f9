package org.mimosacleat.lab.demo;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.workload.Scenario;
import org.mimosacleat.lab.workload.Workload;
import org.mimosacleat.lab.workload.WorkloadProgress;
import org.mimosacleat.lab.workload.WorkloadReport;
import org.mimosacleat.lab.workload.WorkloadSettings;
import org.mimosacleat.proxy.node.ProxyNode;
import org.mimosacleat.standin.endpoint.DelayModel;
import org.mimosacleat.standin.endpoint.EndpointSettings;
import org.mimosacleat.standin.endpoint.EndpointStandin;

/** Runs the workload of a deployment on stand-ins and kills a primary after a third of the time. */
public final class DemoRun {
  private static final int SESSIONS = 24;
  private static final Duration MEAN_PAUSE = Duration.ofMillis(20);
  private static final Duration SERVICE_TIME = Duration.ofMillis(1);
  private static final Duration MEDIAN_REPLICATION_LAG = Duration.ofMillis(20);
  private static final double REPLICATION_LAG_SIGMA = 1.38;
  private static final int KILL_TIME_DIVISOR = 3;

  private final Deployment deployment;
  private final Scenario scenario;
  private final Duration duration;
  private final long seed;

  /**
   * Creates a run.
   *
   * @param deployment the sizes and delays
   * @param scenario the requests
   * @param duration the duration of the workload
   * @param seed the seed of all random numbers
   */
  public DemoRun(Deployment deployment, Scenario scenario, Duration duration, long seed) {
    this.deployment = deployment;
    this.scenario = scenario;
    this.duration = duration;
    this.seed = seed;
  }

  /** Starts the fleet, runs the workload and stops the fleet. */
  public DemoReport run(Consumer<WorkloadProgress> progress) throws Exception {
    InstantSource clock = new MonotonicClock();
    try (LocalFleet fleet = LocalFleet.start(createConfig());
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor()) {
      EndpointStandin killedPrimary = fleet.groups().getFirst().endpoints().getFirst();
      Workload workload =
          new Workload(workloadSettings(fleet), clock, new SplittableRandom(seed), progress);
      scheduler.schedule(
          killedPrimary::kill,
          duration.dividedBy(KILL_TIME_DIVISOR).toMillis(),
          TimeUnit.MILLISECONDS);
      WorkloadReport report = workload.run();
      return new DemoReport(deployment.name(), killedPrimary.id(), report);
    }
  }

  private LocalFleetConfig createConfig() {
    List<GroupId> groups =
        IntStream.rangeClosed(1, deployment.groups())
            .mapToObj(number -> new GroupId(deployment.name() + "-" + number))
            .toList();
    EndpointSettings endpoints =
        EndpointSettings.defaults()
            .withLimits(deployment.slotsPerEndpoint(), deployment.connectionsPerEndpoint())
            .withConnectDelay(deployment.connectTime())
            .withServiceTime(new DelayModel.Constant(SERVICE_TIME))
            .withLag(
                new DelayModel.Constant(deployment.zoneLatency()),
                new DelayModel.LogNormal(MEDIAN_REPLICATION_LAG, REPLICATION_LAG_SIGMA));
    return new LocalFleetConfig(
        deployment.zones(),
        deployment.zones().size(),
        groups,
        deployment.endpointsPerGroup(),
        endpoints,
        seed);
  }

  private WorkloadSettings workloadSettings(LocalFleet fleet) {
    List<InetSocketAddress> proxies =
        fleet.proxies().stream().map(ProxyNode::clientAddress).toList();
    List<String> databases = fleet.groups().stream().map(group -> group.id().value()).toList();
    return new WorkloadSettings(
        scenario, proxies, databases, LocalPlatform.CUSTOMER, "", SESSIONS, duration, MEAN_PAUSE);
  }
}

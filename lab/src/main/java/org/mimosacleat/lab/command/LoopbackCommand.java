package org.mimosacleat.lab.command;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.lab.bench.BenchTarget;
import org.mimosacleat.lab.bench.IdleConnectionBench;
import org.mimosacleat.lab.bench.LoopbackBench;
import org.mimosacleat.lab.bench.LoopbackBenchSettings;
import org.mimosacleat.lab.bench.LoopbackReport;
import org.mimosacleat.lab.bench.MemoryReport;
import org.mimosacleat.lab.bench.ResidentMemory;
import org.mimosacleat.lab.demo.LocalFleet;
import org.mimosacleat.lab.demo.LocalFleetConfig;
import org.mimosacleat.lab.demo.LocalPlatform;
import org.mimosacleat.standin.endpoint.EndpointSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The subcommand {@code loopback}: measures the proxy's overhead in time and memory. */
@Command(
    name = "loopback",
    description =
        "Compares statements through a proxy with statements sent directly to an endpoint.")
final class LoopbackCommand implements Callable<Integer> {
  private static final GroupId GROUP = new GroupId("bench");
  private static final int SLOTS_PER_ENDPOINT = 64;
  private static final int CONNECTIONS_PER_ENDPOINT = 400;
  private static final Duration SETTLING_TIME = Duration.ofSeconds(2);

  @Option(
      names = "--connections",
      defaultValue = "3700",
      description = "The number of idle connections to open (default: ${DEFAULT-VALUE}).")
  private int connections;

  @Option(
      names = "--steps",
      defaultValue = "4",
      description =
          "The number of memory readings while they are opened (default: ${DEFAULT-VALUE}).")
  private int steps;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() throws Exception {
    PrintWriter out = specification.commandLine().getOut();
    EndpointSettings endpoints =
        EndpointSettings.defaults()
            .withLimits(SLOTS_PER_ENDPOINT, CONNECTIONS_PER_ENDPOINT)
            .withConnectDelay(Duration.ZERO);
    LocalFleetConfig config =
        LocalFleetConfig.small(GROUP.value()).withProxies(1).withEndpoints(endpoints);
    try (LocalFleet fleet = LocalFleet.start(config)) {
      fleet.awaitServing(GROUP);
      BenchTarget proxied =
          new BenchTarget(
              fleet.proxies().getFirst().clientAddress(),
              GROUP.value(),
              LocalPlatform.CUSTOMER,
              "");
      BenchTarget direct =
          new BenchTarget(
              fleet.groups().getFirst().primary().address(),
              "postgres",
              LocalPlatform.CUSTOMER,
              "");
      print(createBench(direct, proxied).run(), out);
      MemoryReport memory =
          new IdleConnectionBench(proxied, ResidentMemory.ofCurrentProcess(), SETTLING_TIME)
              .run(connections, steps);
      print(memory, out);
    }
    return 0;
  }

  private static LoopbackBench createBench(BenchTarget direct, BenchTarget proxied) {
    return new LoopbackBench(
        direct, proxied, LoopbackBenchSettings.defaults(), new MonotonicClock());
  }

  private static void print(LoopbackReport report, PrintWriter out) {
    out.printf(
        "median round trip at one client: direct %.1f us, through the proxy %.1f us,"
            + " ratio %.2f (goal: at most 1.30)%n",
        report.latency().directMedianMicroseconds(),
        report.latency().proxiedMedianMicroseconds(),
        report.latency().ratio());
    out.printf(
        "throughput at %d clients: direct %.0f/s, through the proxy %.0f/s, share %.2f"
            + " (goal: at least 0.70)%n",
        report.throughput().clients(),
        report.throughput().directPerSecond(),
        report.throughput().proxiedPerSecond(),
        report.throughput().ratio());
    out.flush();
  }

  private static void print(MemoryReport memory, PrintWriter out) {
    memory
        .readings()
        .forEach(
            reading ->
                out.printf(
                    "%d idle connections: %.1f MB resident (clients and stand-ins included)%n",
                    reading.connections(), reading.residentBytes() / 1e6));
    out.printf("slope: %.0f bytes a connection, both ends%n", memory.bytesPerConnection());
    out.flush();
  }
}

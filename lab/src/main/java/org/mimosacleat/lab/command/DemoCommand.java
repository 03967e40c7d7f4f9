package org.mimosacleat.lab.command;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.mimosacleat.lab.demo.DemoReport;
import org.mimosacleat.lab.demo.DemoRun;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.workload.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The subcommand {@code demo}: runs both deployments on stand-ins and kills a primary. */
@Command(
    name = "demo",
    description =
        "Runs the workloads of both deployments through real proxies on stand-ins and kills a"
            + " primary during each run.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:no guarantee was violated",
      "1:a guarantee was violated or nothing was served"
    })
final class DemoCommand implements Callable<Integer> {
  private static final int EXIT_NO_VIOLATION = 0;
  private static final int EXIT_VIOLATION = 1;

  @Option(
      names = "--seconds",
      defaultValue = "8",
      description = "How long each workload runs (default: ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "The seed of all random numbers (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() throws Exception {
    PrintWriter out = specification.commandLine().getOut();
    List<DemoReport> reports = new ArrayList<>();
    reports.add(run(Deployment.KAITIAKI, Scenario.KAITIAKI, out));
    reports.add(run(Deployment.CARTAGO, Scenario.CARTAGO, out));
    reports.forEach(report -> DemoTable.print(report, out));
    out.flush();
    return reports.stream().allMatch(DemoReport::isClean) ? EXIT_NO_VIOLATION : EXIT_VIOLATION;
  }

  private DemoReport run(Deployment deployment, Scenario scenario, PrintWriter out)
      throws Exception {
    return new DemoRun(deployment, scenario, Duration.ofSeconds(seconds), seed)
        .run(
            progress -> {
              out.printf(
                  "%-9s %2d/%2d s  served %6d  refused %4d  unknown %4d%n",
                  scenario.name(),
                  progress.elapsed().toSeconds(),
                  progress.duration().toSeconds(),
                  progress.served(),
                  progress.refused(),
                  progress.unknown());
              out.flush();
            });
  }
}

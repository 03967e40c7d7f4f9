package org.mimosacleat.lab.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Experiments;
import org.mimosacleat.lab.measure.MeasureRun;
import org.mimosacleat.lab.measure.Summary;
import org.mimosacleat.lab.report.MeasureReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The subcommand {@code measure}: runs the experiments with their baselines. */
@Command(
    name = "measure",
    description = "Measures the design decisions against their baselines for both deployments.")
final class MeasureCommand implements Callable<Integer> {
  @Option(
      names = "--seeds",
      defaultValue = "3",
      description =
          "The number of seeds that each experiment runs with (default: ${DEFAULT-VALUE}).")
  private int seeds;

  @Option(names = "--only", description = "The experiment to run (default: all).")
  private String only;

  @Option(
      names = "--into",
      description = "The folder to write measure.txt, measure.json and the plots to.")
  private Path folder;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() throws IOException {
    PrintWriter out = specification.commandLine().getOut();
    MeasureRun run = new MeasureRun(LongStream.rangeClosed(1, seeds).boxed().toList());
    List<Summary> summaries = new ArrayList<>();
    for (Experiment experiment : Experiments.all()) {
      if (only != null && !only.equals(experiment.name())) {
        continue;
      }
      for (Deployment deployment : Deployment.ALL) {
        List<Summary> deploymentSummaries = run.run(experiment, deployment);
        deploymentSummaries.forEach(summary -> out.println(MeasureReport.formatLine(summary)));
        out.flush();
        summaries.addAll(deploymentSummaries);
      }
    }
    if (folder != null) {
      new MeasureReport(summaries, seeds).write(folder);
    }
    return 0;
  }
}

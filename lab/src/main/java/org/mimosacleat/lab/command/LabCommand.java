package org.mimosacleat.lab.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command of the lab; its work is in the subcommands. */
@Command(
    name = "mimosacleat-lab",
    description = "Demonstrations and measurements on stand-ins.",
    mixinStandardHelpOptions = true,
    version = "mimosacleat 0.1.0",
    subcommands = {
      DemoCommand.class,
      MeasureCommand.class,
      LoopbackCommand.class,
      CapacityCommand.class,
      StandinCommand.class
    })
public final class LabCommand implements Runnable {
  @Spec private CommandSpec specification;

  /** Refuses to run without a subcommand. */
  @Override
  public void run() {
    throw new ParameterException(
        specification.commandLine(),
        "a subcommand is missing: demo, measure, loopback, capacity or standin");
  }
}

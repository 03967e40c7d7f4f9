package org.mimosacleat.lab.command;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root command of the lab; each function is a subcommand. */
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

  /** Fails because no subcommand was given. */
  @Override
  public void run() {
    throw new ParameterException(
        specification.commandLine(),
        "a subcommand is missing: demo, measure, loopback, capacity or standin");
  }
}

package org.mimosacleat.lab.command;

import org.mimosacleat.lab.measure.fleet.CapacityMeasurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code capacity}: measures the cost per unit used in docs/CAPACITY.md. */
@Command(
    name = "capacity",
    description = "Measures bytes, messages, CPU time and memory at several sizes.")
final class CapacityCommand implements Runnable {
  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "The seed of all random numbers (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Override
  public void run() {
    new CapacityMeasurement(seed).print(System.out);
  }
}

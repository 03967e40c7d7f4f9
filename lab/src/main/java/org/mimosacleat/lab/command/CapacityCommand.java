package org.mimosacleat.lab.command;

import org.mimosacleat.lab.measure.fleet.CapacitySlopes;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The subcommand {@code capacity}: the slopes that docs/CAPACITY.md is worked out from. */
@Command(
    name = "capacity",
    description = "Measures bytes, messages, processor time and memory at several sizes.")
final class CapacityCommand implements Runnable {
  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "The seed of all draws (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Override
  public void run() {
    new CapacitySlopes(seed).print(System.out);
  }
}

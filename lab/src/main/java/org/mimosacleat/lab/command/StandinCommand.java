package org.mimosacleat.lab.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.mimosacleat.lab.demo.StandinHost;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The subcommand {@code standin}: runs the stand-ins for proxies in separate processes. */
@Command(
    name = "standin",
    description =
        "Runs stand-ins of the platform and one group, and writes a settings file for each proxy.")
final class StandinCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FOLDER", description = "The folder to write the settings files to.")
  private Path folder;

  @Option(
      names = "--proxies",
      defaultValue = "2",
      description = "The number of settings files to write (default: ${DEFAULT-VALUE}).")
  private int proxies;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() throws Exception {
    PrintWriter out = specification.commandLine().getOut();
    try (StandinHost _ = StandinHost.start(folder, proxies)) {
      out.println(
          "settings are in "
              + folder
              + "; customer "
              + StandinHost.CUSTOMER
              + ", password '"
              + StandinHost.PASSWORD
              + "', database lending-1; stop with Ctrl-C");
      out.flush();
      new CountDownLatch(1).await();
    }
    return 0;
  }
}

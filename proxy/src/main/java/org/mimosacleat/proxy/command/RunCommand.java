package org.mimosacleat.proxy.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.mimosacleat.proxy.node.PlatformServices;
import org.mimosacleat.proxy.node.ProxyNode;
import org.mimosacleat.proxy.settings.ProxySettings;
import org.mimosacleat.store.aws.AwsPlatform;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The subcommand {@code run}: starts the proxy and serves until SIGTERM or SIGINT, which stops it
 * gracefully; a second signal ends the process immediately.
 */
@Command(name = "run", description = "Runs the proxy until SIGTERM or SIGINT.")
final class RunCommand implements Callable<Integer> {
  @Parameters(paramLabel = "FILE", description = "The settings file.")
  private Path file;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() throws InterruptedException {
    PrintWriter errors = specification.commandLine().getErr();
    Either<List<String>, ProxySettings> settings = SettingsFile.load(file);
    if (settings.isLeft()) {
      settings.getLeft().forEach(errors::println);
      return ExitCode.INVALID_INPUT;
    }
    StopSignals signals = StopSignals.install();
    try (AwsPlatform platform = PlatformFactory.open(settings.get());
        ProxyNode node = ProxyNode.start(settings.get(), services(platform))) {
      signals.awaitFirst();
      boolean clean = node.drain(settings.get().limits().shutdownTimeout());
      return clean ? ExitCode.SUCCESS : ExitCode.FAILURE;
    } catch (IOException failed) {
      errors.println("the proxy could not start: " + failed.getMessage());
      return ExitCode.FAILURE;
    }
  }

  private static PlatformServices services(AwsPlatform platform) {
    return new PlatformServices(platform.table(), platform.objects(), platform.vmList());
  }
}

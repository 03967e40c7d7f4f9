package org.mimosacleat.control;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.status.ProxyStatus;
import org.mimosacleat.store.status.StatusWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints the status of each proxy in the settings. */
@Command(
    name = "status",
    description = "Shows the lists in force, homes, primaries and recent decisions of each proxy.",
    mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {
  @Mixin private SettingsOption settings;
  @Mixin private OutputOption output;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    ControlSettings controlSettings = settings.read();
    if (controlSettings.proxies().isEmpty()) {
      throw new CommandException(
          ExitCode.INVALID, "[control] proxies is empty: there is no proxy to query");
    }
    List<ProxyStatus> statuses = new ArrayList<>();
    List<Failure> failures = new ArrayList<>();
    try (HttpClient http = HttpClient.newHttpClient()) {
      StatusClient client = new StatusClient(http, controlSettings.platform().timeout());
      for (InetSocketAddress proxy : controlSettings.proxies()) {
        Either<Failure, ProxyStatus> answer = client.fetch(proxy);
        answer.peek(statuses::add).peekLeft(failures::add);
      }
    }
    print(statuses);
    failures.forEach(failure -> spec.commandLine().getErr().println(failure.detail()));
    return (failures.isEmpty() ? ExitCode.DONE : ExitCode.UNAVAILABLE).code();
  }

  private void print(List<ProxyStatus> statuses) {
    if (output.isJson()) {
      spec.commandLine().getOut().println(StatusWriter.formatAll(statuses));
      return;
    }
    StatusPrinter printer = new StatusPrinter(spec.commandLine().getOut());
    statuses.forEach(printer::print);
  }
}

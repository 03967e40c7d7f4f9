package org.mimosacleat.control;

import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.status.ProxyStatus;
import org.mimosacleat.store.status.StatusJson;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints what each proxy of the settings says of itself. */
@Command(
    name = "status",
    description = "Shows what each proxy has in force, who is home, who leads, and why.",
    mixinStandardHelpOptions = true)
final class StatusCommand implements Callable<Integer> {
  @Mixin private SettingsOption settings;
  @Mixin private OutputOption output;
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    ControlSettings read = settings.read();
    if (read.proxies().isEmpty()) {
      throw new CommandException(
          ExitCode.INVALID, "[control] proxies names no proxy, so there is none to ask");
    }
    List<ProxyStatus> found = new ArrayList<>();
    List<Failure> failures = new ArrayList<>();
    try (HttpClient http = HttpClient.newHttpClient()) {
      StatusClient client = new StatusClient(http, read.platform().timeout());
      for (InetSocketAddress proxy : read.proxies()) {
        Either<Failure, ProxyStatus> answer = client.ask(proxy);
        answer.peek(found::add).peekLeft(failures::add);
      }
    }
    print(found);
    failures.forEach(failure -> spec.commandLine().getErr().println(failure.detail()));
    return (failures.isEmpty() ? ExitCode.DONE : ExitCode.UNAVAILABLE).code();
  }

  private void print(List<ProxyStatus> found) {
    if (output.isJson()) {
      spec.commandLine().getOut().println(StatusJson.printAll(found));
      return;
    }
    StatusText text = new StatusText(spec.commandLine().getOut());
    found.forEach(text::print);
  }
}

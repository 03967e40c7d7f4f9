package org.mimosacleat.control;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.lists.ListChange;
import org.mimosacleat.core.lists.ListDiff;
import org.mimosacleat.core.lists.ListEditor;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.PublishResult;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The subcommands for one of the operators' two lists. */
@Command(
    mixinStandardHelpOptions = true,
    description = "Shows or edits one of the operators' lists.")
final class ListCommand {
  private final ListKind kind;

  @Spec private CommandSpec spec;

  ListCommand(ListKind kind) {
    this.kind = kind;
  }

  @Command(name = "show", description = "Prints the list.", mixinStandardHelpOptions = true)
  int show(
      @Mixin SettingsOption settings,
      @Mixin OutputOption output,
      @Option(
              names = "--version-number",
              description = "The version to print (default: the newest).")
          Long number) {
    try (ListClient client = new ListClient(settings.read())) {
      PublishedList list = number == null ? newest(client) : version(client, number);
      if (output.isJson()) {
        out().println(ListJson.list(list));
      } else {
        // Written to standard error, so that redirected output is exactly the text of the list.
        spec.commandLine()
            .getErr()
            .println(kind + " version " + list.version() + " by " + list.editor());
        out().print(list.text());
        out().flush();
      }
      return ExitCode.DONE.code();
    }
  }

  @Command(
      name = "edit",
      description = "Sets or removes one key, or removes a section, of the newest version.",
      mixinStandardHelpOptions = true)
  int edit(
      @Mixin SettingsOption settings,
      @Option(
              names = "--section",
              required = true,
              description = "The section header, for example 'customer bookings'.")
          String section,
      @Option(names = "--key", description = "The key; without it, --remove removes the section.")
          String key,
      @Option(names = "--value", description = "The new value of the key.") String value,
      @Option(names = "--remove", description = "Removes the key or the section.") boolean remove,
      @Option(
              names = "--note",
              defaultValue = "",
              description = "The reason for the change, shown in the history.")
          String note) {
    if (remove == (value != null) || (!remove && key == null)) {
      throw new CommandException(
          ExitCode.USAGE, "give either --key and --value, or --remove with or without --key");
    }
    ControlSettings controlSettings = settings.read();
    try (ListClient client = new ListClient(controlSettings)) {
      Optional<PublishedList> base = client.newest(kind);
      String before = base.map(PublishedList::text).orElse("");
      String after = applyChange(before, section, key, value);
      ListVersion version = base.map(PublishedList::version).orElse(ListVersion.NONE);
      ListEdit edit = new ListEdit(kind, version, controlSettings.editor(), note, after);
      return report(client.publish(edit), before);
    }
  }

  @Command(
      name = "put",
      description = "Replaces the whole list with the contents of a file.",
      mixinStandardHelpOptions = true)
  int put(
      @Mixin SettingsOption settings,
      @Parameters(paramLabel = "FILE", description = "The file with the new list.") Path file,
      @Option(
              names = "--base",
              required = true,
              description = "The version that the file is based on; 0 for the first version.")
          long base,
      @Option(
              names = "--note",
              defaultValue = "",
              description = "The reason for the change, shown in the history.")
          String note) {
    ControlSettings controlSettings = settings.read();
    String text = TextFile.read(file);
    try (ListClient client = new ListClient(controlSettings)) {
      ListEdit edit =
          new ListEdit(kind, new ListVersion(base), controlSettings.editor(), note, text);
      PublishResult result = client.publish(edit);
      boolean isConflict = result instanceof PublishResult.Conflict && base > 0;
      return report(result, isConflict ? version(client, base).text() : "");
    }
  }

  @Command(
      name = "history",
      description = "Lists the latest versions, newest first.",
      mixinStandardHelpOptions = true)
  int history(
      @Mixin SettingsOption settings,
      @Mixin OutputOption output,
      @Option(
              names = "--limit",
              defaultValue = "20",
              description = "The maximum number of versions.")
          int limit) {
    try (ListClient client = new ListClient(settings.read())) {
      List<PublishedList> versions = client.history(kind, limit);
      if (output.isJson()) {
        out().println(ListJson.history(versions));
        return ExitCode.DONE.code();
      }
      for (PublishedList list : versions) {
        out()
            .println(
                String.join(
                    "  ",
                    list.version().toString(),
                    list.editedAt().toString(),
                    list.editor(),
                    list.note()));
      }
      return ExitCode.DONE.code();
    }
  }

  @Command(
      name = "diff",
      description = "Shows the differences between two versions.",
      mixinStandardHelpOptions = true)
  int diff(
      @Mixin SettingsOption settings,
      @Mixin OutputOption output,
      @Parameters(paramLabel = "FROM", description = "A version number; 0 is the empty list.")
          long from,
      @Parameters(paramLabel = "TO", description = "A version number.") long to) {
    try (ListClient client = new ListClient(settings.read())) {
      String before = from == 0 ? "" : version(client, from).text();
      List<ListChange> changes = ListDiff.between(before, version(client, to).text());
      if (output.isJson()) {
        out().println(ListJson.changes(changes));
      } else {
        changes.forEach(out()::println);
      }
      return ExitCode.DONE.code();
    }
  }

  private static String applyChange(String before, String section, String key, String value) {
    if (value != null) {
      return ListEditor.set(before, section, key, value);
    }
    return key == null
        ? ListEditor.removeSection(before, section)
        : ListEditor.remove(before, section, key);
  }

  private PublishedList newest(ListClient client) {
    return client
        .newest(kind)
        .orElseThrow(
            () ->
                new CommandException(
                    ExitCode.NOT_FOUND, "no version of the list of " + kind + " exists yet"));
  }

  private PublishedList version(ListClient client, long number) {
    if (number < 1) {
      throw new CommandException(ExitCode.USAGE, "version must be at least 1, but was " + number);
    }
    return client.version(kind, new ListVersion(number));
  }

  private int report(PublishResult result, String baseText) {
    CommandLine command = spec.commandLine();
    return new PublishResultPrinter(command.getOut(), command.getErr())
        .print(result, baseText)
        .code();
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }
}

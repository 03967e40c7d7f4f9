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

/** The commands on one of the two lists. */
@Command(
    mixinStandardHelpOptions = true,
    description = "Shows and changes one of the operators' lists.")
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
      @Option(names = "--version-number", description = "A version other than the newest.")
          Long number) {
    try (ListSession session = new ListSession(settings.read())) {
      PublishedList list = number == null ? newest(session) : version(session, number);
      if (output.isJson()) {
        out().println(ListJson.list(list));
      } else {
        // On the error output, so that a redirected list is exactly the text that was put.
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
      description = "Sets or removes one key on the newest version.",
      mixinStandardHelpOptions = true)
  int edit(
      @Mixin SettingsOption settings,
      @Option(
              names = "--section",
              required = true,
              description = "Header of the section, as in 'customer bookings'.")
          String section,
      @Option(names = "--key", description = "The key; without it --remove takes the section.")
          String key,
      @Option(names = "--value", description = "The new value of the key.") String value,
      @Option(names = "--remove", description = "Removes the key or the section.") boolean remove,
      @Option(names = "--note", defaultValue = "", description = "Why; the history shows it.")
          String note) {
    if (remove == (value != null) || (!remove && key == null)) {
      throw new CommandException(
          ExitCode.USAGE, "give either --key and --value, or --remove with or without --key");
    }
    ControlSettings read = settings.read();
    try (ListSession session = new ListSession(read)) {
      Optional<PublishedList> base = session.newest(kind);
      String before = base.map(PublishedList::text).orElse("");
      String after = changed(before, section, key, value);
      ListVersion version = base.map(PublishedList::version).orElse(ListVersion.NONE);
      ListEdit edit = new ListEdit(kind, version, read.editor(), note, after);
      return report(session.publish(edit), before);
    }
  }

  @Command(
      name = "put",
      description = "Replaces the whole list by a file.",
      mixinStandardHelpOptions = true)
  int put(
      @Mixin SettingsOption settings,
      @Parameters(paramLabel = "FILE", description = "The new list.") Path file,
      @Option(
              names = "--base",
              required = true,
              description = "The version that the file was made from; 0 for the first.")
          long base,
      @Option(names = "--note", defaultValue = "", description = "Why; the history shows it.")
          String note) {
    ControlSettings read = settings.read();
    String text = TextFile.read(file);
    try (ListSession session = new ListSession(read)) {
      ListEdit edit = new ListEdit(kind, new ListVersion(base), read.editor(), note, text);
      PublishResult result = session.publish(edit);
      boolean lost = result instanceof PublishResult.LostRace && base > 0;
      return report(result, lost ? version(session, base).text() : "");
    }
  }

  @Command(
      name = "history",
      description = "Lists the latest versions, newest first.",
      mixinStandardHelpOptions = true)
  int history(
      @Mixin SettingsOption settings,
      @Mixin OutputOption output,
      @Option(names = "--limit", defaultValue = "20", description = "How many versions.")
          int limit) {
    try (ListSession session = new ListSession(settings.read())) {
      List<PublishedList> versions = session.history(kind, limit);
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
      description = "Shows what differs between two versions.",
      mixinStandardHelpOptions = true)
  int diff(
      @Mixin SettingsOption settings,
      @Mixin OutputOption output,
      @Parameters(paramLabel = "FROM", description = "A version number; 0 is empty.") long from,
      @Parameters(paramLabel = "TO", description = "A version number.") long to) {
    try (ListSession session = new ListSession(settings.read())) {
      String before = from == 0 ? "" : version(session, from).text();
      List<ListChange> changes = ListDiff.between(before, version(session, to).text());
      if (output.isJson()) {
        out().println(ListJson.changes(changes));
      } else {
        changes.forEach(out()::println);
      }
      return ExitCode.DONE.code();
    }
  }

  private static String changed(String before, String section, String key, String value) {
    if (value != null) {
      return ListEditor.set(before, section, key, value);
    }
    return key == null
        ? ListEditor.removeSection(before, section)
        : ListEditor.remove(before, section, key);
  }

  private PublishedList newest(ListSession session) {
    return session
        .newest(kind)
        .orElseThrow(
            () -> new CommandException(ExitCode.NOT_FOUND, "there is no list of " + kind + " yet"));
  }

  private PublishedList version(ListSession session, long number) {
    if (number < 1) {
      throw new CommandException(ExitCode.USAGE, "version must be at least 1, but was " + number);
    }
    return session.version(kind, new ListVersion(number));
  }

  private int report(PublishResult result, String baseText) {
    CommandLine command = spec.commandLine();
    return new PublishReport(command.getOut(), command.getErr()).report(result, baseText).code();
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }
}

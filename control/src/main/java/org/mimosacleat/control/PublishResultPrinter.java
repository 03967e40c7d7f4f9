package org.mimosacleat.control;

import java.io.PrintWriter;
import java.util.List;
import org.mimosacleat.core.lists.ListChange;
import org.mimosacleat.core.lists.ListDiff;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.PublishResult;

/**
 * Prints the result of an edit. For an edit that lost a race, also prints its text, so that the
 * operator can repeat it.
 */
final class PublishResultPrinter {
  private final PrintWriter out;
  private final PrintWriter err;

  PublishResultPrinter(PrintWriter out, PrintWriter err) {
    this.out = out;
    this.err = err;
  }

  ExitCode print(PublishResult result, String baseText) {
    return switch (result) {
      case PublishResult.Accepted(PublishedList list) -> accepted(list);
      case PublishResult.Conflict(PublishedList newest, ListEdit rejected) ->
          conflict(newest, rejected, baseText);
      case PublishResult.UnknownBase(var newest) ->
          failed(
              ExitCode.NOT_FOUND,
              "not accepted: the base version is later than the newest version, which is "
                  + newest);
      case PublishResult.Invalid(var problems) ->
          throw ValidationErrors.toException("the list", problems);
      case PublishResult.NotStored(var failure) ->
          failed(ExitCode.UNAVAILABLE, "not accepted: " + failure.detail());
      case PublishResult.InDoubt(var version, var failure) ->
          failed(
              ExitCode.IN_DOUBT,
              "outcome unknown: it could not be determined whether version "
                  + version
                  + " is your edit ("
                  + failure.detail()
                  + "); check the history before you try again");
    };
  }

  private ExitCode accepted(PublishedList list) {
    out.println(list.kind() + " version " + list.version() + " accepted");
    return ExitCode.DONE;
  }

  private ExitCode conflict(PublishedList newest, ListEdit rejected, String baseText) {
    err.println(
        "not accepted: "
            + newest.editor()
            + " was first with version "
            + newest.version()
            + " of the "
            + newest.kind()
            + " at "
            + newest.editedAt()
            + "; your edit was based on version "
            + rejected.base()
            + ".");
    List<ListChange> changes = ListDiff.between(baseText, newest.text());
    err.println("Changes since your base version:");
    changes.forEach(change -> err.println("  " + change));
    err.println(
        "Your text is printed to standard output. Apply your change to version "
            + newest.version()
            + " and try again.");
    out.print(rejected.text());
    out.flush();
    return ExitCode.CONFLICT;
  }

  private ExitCode failed(ExitCode code, String message) {
    err.println(message);
    return code;
  }
}

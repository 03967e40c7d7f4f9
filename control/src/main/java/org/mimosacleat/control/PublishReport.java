package org.mimosacleat.control;

import java.io.PrintWriter;
import java.util.List;
import org.mimosacleat.core.lists.ListChange;
import org.mimosacleat.core.lists.ListDiff;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.PublishResult;

/** Tells an operator what became of an edit, and gives back the text of one that lost a race. */
final class PublishReport {
  private final PrintWriter out;
  private final PrintWriter err;

  PublishReport(PrintWriter out, PrintWriter err) {
    this.out = out;
    this.err = err;
  }

  ExitCode report(PublishResult result, String baseText) {
    return switch (result) {
      case PublishResult.Accepted(PublishedList list) -> accepted(list);
      case PublishResult.LostRace(PublishedList winner, ListEdit edit) ->
          lost(winner, edit, baseText);
      case PublishResult.UnknownBase(var newest) ->
          failed(
              ExitCode.NOT_FOUND, "the base is later than the newest version, which is " + newest);
      case PublishResult.Invalid(var problems) -> throw Problems.invalid("the list", problems);
      case PublishResult.NotStored(var failure) ->
          failed(ExitCode.UNAVAILABLE, "not accepted: " + failure.detail());
      case PublishResult.InDoubt(var version, var failure) ->
          failed(
              ExitCode.IN_DOUBT,
              "it is not known whether version "
                  + version
                  + " is yours ("
                  + failure.detail()
                  + "); look at the history before you try again");
    };
  }

  private ExitCode accepted(PublishedList list) {
    out.println(list.kind() + " version " + list.version() + " accepted");
    return ExitCode.DONE;
  }

  private ExitCode lost(PublishedList winner, ListEdit edit, String baseText) {
    err.println(
        "not accepted: "
            + winner.editor()
            + " was first with version "
            + winner.version()
            + " of the "
            + winner.kind()
            + " at "
            + winner.editedAt()
            + "; yours was based on version "
            + edit.base()
            + ".");
    List<ListChange> changes = ListDiff.between(baseText, winner.text());
    err.println("What changed since your base:");
    changes.forEach(change -> err.println("  " + change));
    err.println(
        "Your text follows on the standard output. Make your change on version "
            + winner.version()
            + " and try again.");
    out.print(edit.text());
    out.flush();
    return ExitCode.LOST_RACE;
  }

  private ExitCode failed(ExitCode code, String message) {
    err.println(message);
    return code;
  }
}

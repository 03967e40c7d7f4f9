package org.mimosacleat.store.lists;

import java.util.List;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.settings.SettingsProblem;

/** What became of an edit. */
public sealed interface PublishResult {
  /**
   * It is the list's newest version now.
   *
   * @param list the new version
   */
  record Accepted(PublishedList list) implements PublishResult {}

  /**
   * Another edit of the same base came first; nothing of this one was stored in the list.
   *
   * @param winner the newest version, which the edit must be made on
   * @param lost the edit, with its text
   */
  record LostRace(PublishedList winner, ListEdit lost) implements PublishResult {}

  /**
   * The edit names a base that the list has not reached.
   *
   * @param newest the newest version
   */
  record UnknownBase(ListVersion newest) implements PublishResult {}

  /**
   * The text does not pass the checks.
   *
   * @param problems all that is wrong
   */
  record Invalid(List<SettingsProblem> problems) implements PublishResult {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * The store could not be reached; the edit was not accepted.
   *
   * @param failure why
   */
  record NotStored(Failure failure) implements PublishResult {}

  /**
   * The store did not say whether it took the edit; the history will show it.
   *
   * @param version the number that the edit has if it was accepted
   * @param failure why nothing is known
   */
  record InDoubt(ListVersion version, Failure failure) implements PublishResult {}
}

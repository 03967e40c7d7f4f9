package org.mimosacleat.store.lists;

import java.util.List;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.settings.SettingsProblem;

/** The outcome of publishing an edit. */
public sealed interface PublishResult {
  /**
   * The edit is the newest version of the list.
   *
   * @param list the new version
   */
  record Accepted(PublishedList list) implements PublishResult {}

  /**
   * Another edit with the same base was accepted first; this edit was rejected.
   *
   * @param newest the newest version, on which the edit must be based instead
   * @param rejected the rejected edit, with its text
   */
  record Conflict(PublishedList newest, ListEdit rejected) implements PublishResult {}

  /**
   * The edit is based on a version later than the newest.
   *
   * @param newest the newest version
   */
  record UnknownBase(ListVersion newest) implements PublishResult {}

  /**
   * The text is invalid.
   *
   * @param problems all problems of the text
   */
  record Invalid(List<SettingsProblem> problems) implements PublishResult {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * The edit was not accepted because the store failed or could not be reached.
   *
   * @param failure the cause
   */
  record NotStored(Failure failure) implements PublishResult {}

  /**
   * It is unknown whether the edit was accepted; the history shows it.
   *
   * @param version the version of the edit if it was accepted
   * @param failure why the outcome is unknown
   */
  record InDoubt(ListVersion version, Failure failure) implements PublishResult {}
}

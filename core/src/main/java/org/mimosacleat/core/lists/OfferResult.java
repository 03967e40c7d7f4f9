package org.mimosacleat.core.lists;

import java.util.List;
import org.mimosacleat.core.settings.SettingsProblem;

/** The result of offering a list version to a {@link ListRegistry}. */
public sealed interface OfferResult {
  /**
   * The version has become active.
   *
   * @param list the new version
   * @param replaced the version that was active before
   * @param changes the differences between the two versions
   */
  record Applied(PublishedList list, ListVersion replaced, List<ListChange> changes)
      implements OfferResult {
    private static final int MAX_LOGGED_CHANGES = 20;

    /** Copies the list. */
    public Applied {
      changes = List.copyOf(changes);
    }

    /** Returns a line for the log that contains no secrets. */
    public String explanation() {
      return String.format(
          "%s version %s replaces version %s: edited by %s at %s, %d changes: %s",
          list.kind(),
          list.version(),
          replaced,
          list.editor(),
          list.editedAt(),
          changes.size(),
          changes.stream().limit(MAX_LOGGED_CHANGES).toList());
    }
  }

  /**
   * The version or a newer one was already active; nothing changed.
   *
   * @param activeVersion the active version
   */
  record NotNewer(ListVersion activeVersion) implements OfferResult {}

  /**
   * A different write has the same version number as the active version; nothing changed. The
   * conditional write in the store should rule this out.
   *
   * @param activeWriter the id of the active write
   * @param offeredWriter the id of the offered write
   */
  record Conflicting(String activeWriter, String offeredWriter) implements OfferResult {}

  /**
   * The text is invalid; the active version stays.
   *
   * @param problems the problems found in the text
   */
  record Rejected(List<SettingsProblem> problems) implements OfferResult {
    /** Copies the list. */
    public Rejected {
      problems = List.copyOf(problems);
    }
  }
}

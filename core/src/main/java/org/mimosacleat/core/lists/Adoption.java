package org.mimosacleat.core.lists;

import java.util.List;
import org.mimosacleat.core.settings.SettingsProblem;

/** What a {@link ListRegistry} did with a version that it was offered. */
public sealed interface Adoption {
  /**
   * The version is in force now.
   *
   * @param list the version
   * @param replaced the version that was in force before
   * @param changes what differs
   */
  record Adopted(PublishedList list, ListVersion replaced, List<ListChange> changes)
      implements Adoption {
    private static final int SHOWN_CHANGES = 20;

    /** Copies the list. */
    public Adopted {
      changes = List.copyOf(changes);
    }

    /** Returns one line for the log, without secrets. */
    public String explanation() {
      return String.format(
          "%s version %s replaces %s, edited by %s at %s, %d changes: %s",
          list.kind(),
          list.version(),
          replaced,
          list.editor(),
          list.editedAt(),
          changes.size(),
          changes.stream().limit(SHOWN_CHANGES).toList());
    }
  }

  /**
   * The version, or a newer one, was in force already; nothing changed.
   *
   * @param inForce the version in force
   */
  record NotNewer(ListVersion inForce) implements Adoption {}

  /**
   * Another text claims the number of the version in force, which the conditional write rules out;
   * nothing changed.
   *
   * @param inForce the write in force
   * @param offered the write that was offered
   */
  record Conflicting(String inForce, String offered) implements Adoption {}

  /**
   * The text does not pass the checks; the version in force stays.
   *
   * @param problems what is wrong
   */
  record Refused(List<SettingsProblem> problems) implements Adoption {
    /** Copies the list. */
    public Refused {
      problems = List.copyOf(problems);
    }
  }
}

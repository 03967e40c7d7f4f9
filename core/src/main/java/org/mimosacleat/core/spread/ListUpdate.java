package org.mimosacleat.core.spread;

import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** Takes a list to a version. */
public sealed interface ListUpdate permits ListUpdate.Whole, ListDelta {
  /** Returns which list. */
  ListKind kind();

  /** Returns the version that the list has afterwards. */
  ListVersion version();

  /** Returns the number of characters that the update carries. */
  int size();

  /**
   * The whole list; applies on any earlier version.
   *
   * @param list the list
   */
  record Whole(PublishedList list) implements ListUpdate {
    @Override
    public ListKind kind() {
      return list.kind();
    }

    @Override
    public ListVersion version() {
      return list.version();
    }

    @Override
    public int size() {
      return list.text().length();
    }
  }
}

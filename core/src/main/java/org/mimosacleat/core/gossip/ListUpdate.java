package org.mimosacleat.core.gossip;

import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** An update of a list to a newer version. */
public sealed interface ListUpdate permits ListUpdate.Full, ListDelta {
  /** Returns the kind of the updated list. */
  ListKind kind();

  /** Returns the version of the list after the update. */
  ListVersion version();

  /** Returns the length of the text in the update, in characters. */
  int textLength();

  /**
   * The full list; it can be applied to any earlier version.
   *
   * @param list the new list
   */
  record Full(PublishedList list) implements ListUpdate {
    @Override
    public ListKind kind() {
      return list.kind();
    }

    @Override
    public ListVersion version() {
      return list.version();
    }

    @Override
    public int textLength() {
      return list.text().length();
    }
  }
}

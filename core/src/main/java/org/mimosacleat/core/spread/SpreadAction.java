package org.mimosacleat.core.spread;

import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** What a {@link SpreadMachine} asks for. */
public sealed interface SpreadAction {
  /**
   * Send a message; it may be lost.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(VmId to, SpreadMessage message) implements SpreadAction {}

  /** Ask the store which versions it has. */
  record AskStore() implements SpreadAction {}

  /**
   * Read a list from the store.
   *
   * @param list the list
   * @param have the version that this VM has
   */
  record FetchFromStore(ListKind list, ListVersion have) implements SpreadAction {}

  /**
   * Put a list in force and log it.
   *
   * @param list the list
   * @param explanation where it came from and what it replaces
   */
  record Apply(PublishedList list, String explanation) implements SpreadAction {}

  /**
   * Alert the operator: the store has an older version than this VM, as after a restore.
   *
   * @param list the list
   * @param held the version in force
   * @param stored the version of the store
   */
  record StoreIsBehind(ListKind list, ListVersion held, ListVersion stored)
      implements SpreadAction {}
}

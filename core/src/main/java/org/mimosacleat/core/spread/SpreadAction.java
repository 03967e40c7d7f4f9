package org.mimosacleat.core.spread;

import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** An action that a {@link SpreadMachine} requests. */
public sealed interface SpreadAction {
  /**
   * Send a message without a delivery guarantee.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(VmId to, SpreadMessage message) implements SpreadAction {}

  /** Read the versions of all lists from the store. */
  record AskStore() implements SpreadAction {}

  /**
   * Read a list from the store.
   *
   * @param list the list to read
   * @param have the local version
   */
  record FetchFromStore(ListKind list, ListVersion have) implements SpreadAction {}

  /**
   * Activate a list and log the change.
   *
   * @param list the list
   * @param explanation the source of the list and the version it replaces, for the log
   */
  record Apply(PublishedList list, String explanation) implements SpreadAction {}

  /**
   * Alert the operator: the store has an older version than this VM, for example after a restore
   * from a backup.
   *
   * @param list the list
   * @param held the local version
   * @param stored the version in the store
   */
  record StoreIsBehind(ListKind list, ListVersion held, ListVersion stored)
      implements SpreadAction {}
}

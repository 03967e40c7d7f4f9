package org.mimosacleat.core.gossip;

import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** An action that a {@link ListGossipStateMachine} requests. */
public sealed interface ListGossipAction {
  /**
   * Send a message without a delivery guarantee.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(VmId to, ListGossipMessage message) implements ListGossipAction {}

  /** Read the versions of all lists from the store. */
  record QueryStoreVersions() implements ListGossipAction {}

  /**
   * Read a list from the store.
   *
   * @param list the list to read
   * @param localVersion the local version
   */
  record FetchFromStore(ListKind list, ListVersion localVersion) implements ListGossipAction {}

  /**
   * Activate a list and log the change.
   *
   * @param list the list
   * @param explanation the source of the list and the version it replaces, for the log
   */
  record Apply(PublishedList list, String explanation) implements ListGossipAction {}

  /**
   * Alert the operator: the store has an older version than this VM, for example after a restore
   * from a backup.
   *
   * @param list the list
   * @param localVersion the local version
   * @param storeVersion the version in the store
   */
  record StoreIsBehind(ListKind list, ListVersion localVersion, ListVersion storeVersion)
      implements ListGossipAction {}
}

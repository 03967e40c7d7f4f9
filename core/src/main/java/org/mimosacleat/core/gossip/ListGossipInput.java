package org.mimosacleat.core.gossip;

import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** An input of a {@link ListGossipStateMachine}. */
public sealed interface ListGossipInput {
  /** Time has passed; expected about every 100 ms. */
  record Tick() implements ListGossipInput {}

  /**
   * The current live VMs other than this one.
   *
   * @param peers the VMs
   */
  record Peers(List<VmId> peers) implements ListGossipInput {}

  /**
   * A message arrived.
   *
   * @param message the message
   */
  record Received(ListGossipMessage message) implements ListGossipInput {}

  /**
   * The store has accepted a write of a list or returned a list.
   *
   * @param list the list
   */
  record ListReadFromStore(PublishedList list) implements ListGossipInput {}

  /**
   * The store returned the versions of its lists.
   *
   * @param versions the version of each list
   */
  record StoreVersionsRead(Map<ListKind, ListVersion> versions) implements ListGossipInput {}
}

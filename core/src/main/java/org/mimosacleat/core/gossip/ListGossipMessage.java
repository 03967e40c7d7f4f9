package org.mimosacleat.core.gossip;

import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;

/** A message between the list dissemination of two VMs. */
public sealed interface ListGossipMessage {
  /** Returns the VM that sent the message. */
  VmId sender();

  /**
   * Announces the sender's versions.
   *
   * @param sender the VM that sent the message
   * @param versions the version of each list that the sender has
   * @param updates changes that the receiver may lack, small enough for one datagram
   */
  record Announce(VmId sender, Map<ListKind, ListVersion> versions, List<ListUpdate> updates)
      implements ListGossipMessage {}

  /**
   * Requests the updates after a version.
   *
   * @param sender the VM that sent the message
   * @param list the list
   * @param senderVersion the sender's version
   */
  record Fetch(VmId sender, ListKind list, ListVersion senderVersion)
      implements ListGossipMessage {}

  /**
   * Answers a fetch.
   *
   * @param sender the VM that sent the message
   * @param updates the deltas in ascending order, or the full list
   */
  record Updates(VmId sender, List<ListUpdate> updates) implements ListGossipMessage {}
}

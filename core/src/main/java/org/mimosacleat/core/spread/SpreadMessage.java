package org.mimosacleat.core.spread;

import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;

/** A message between two spread machines. */
public sealed interface SpreadMessage {
  /** Returns the VM that sent the message. */
  VmId sender();

  /**
   * Tells which versions the sender has.
   *
   * @param sender the VM that sent the message
   * @param versions a version for each list the sender has
   * @param updates changes that may be new to the receiver, small enough for one datagram
   */
  record Announce(VmId sender, Map<ListKind, ListVersion> versions, List<ListUpdate> updates)
      implements SpreadMessage {}

  /**
   * Asks for what follows a version.
   *
   * @param sender the VM that sent the message
   * @param list the list
   * @param have the version that the sender has
   */
  record Fetch(VmId sender, ListKind list, ListVersion have) implements SpreadMessage {}

  /**
   * Answers a fetch.
   *
   * @param sender the VM that sent the message
   * @param updates the changes in order, or the whole list
   */
  record Updates(VmId sender, List<ListUpdate> updates) implements SpreadMessage {}
}

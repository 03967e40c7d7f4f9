package org.mimosacleat.core.spread;

import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** An input of a {@link SpreadMachine}. */
public sealed interface SpreadInput {
  /** Time has passed; expected about every 100 ms. */
  record Tick() implements SpreadInput {}

  /**
   * The current live VMs other than this one.
   *
   * @param peers the VMs
   */
  record Peers(List<VmId> peers) implements SpreadInput {}

  /**
   * A message arrived.
   *
   * @param message the message
   */
  record Received(SpreadMessage message) implements SpreadInput {}

  /**
   * The store has accepted a write of a list or returned a list.
   *
   * @param list the list
   */
  record FromStore(PublishedList list) implements SpreadInput {}

  /**
   * The store returned the versions of its lists.
   *
   * @param versions the version of each list
   */
  record StoreVersions(Map<ListKind, ListVersion> versions) implements SpreadInput {}
}

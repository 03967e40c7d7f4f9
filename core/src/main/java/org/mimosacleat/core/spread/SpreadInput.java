package org.mimosacleat.core.spread;

import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.PublishedList;

/** What a {@link SpreadMachine} is told. */
public sealed interface SpreadInput {
  /** Time has passed; to be given about every 100 ms. */
  record Tick() implements SpreadInput {}

  /**
   * The live VMs other than this one.
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
   * The store has accepted or given out a list.
   *
   * @param list the list
   */
  record FromStore(PublishedList list) implements SpreadInput {}

  /**
   * The store said which versions it has.
   *
   * @param versions a version for each list
   */
  record StoreVersions(Map<ListKind, ListVersion> versions) implements SpreadInput {}
}

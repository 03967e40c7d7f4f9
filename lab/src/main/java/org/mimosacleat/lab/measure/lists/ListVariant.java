package org.mimosacleat.lab.measure.lists;

import java.util.List;
import java.util.Optional;

/**
 * A way to order the versions of a list.
 *
 * @param <M> what an accepted edit sends to the proxies
 */
interface ListVariant<M> {
  /** Returns the list as an operator at a proxy reads it. */
  Snapshot read(int proxy);

  /** Takes an edit of what was read; empty if it is refused. */
  Optional<M> submit(Edit edit, Snapshot base);

  /** Brings an accepted edit to a proxy. */
  void deliver(int proxy, M message);

  /** Returns the edit in force for each key at a proxy. */
  List<Long> inForce(int proxy);
}

package org.mimosacleat.lab.measure.lists;

import java.util.List;
import java.util.Optional;

/**
 * A strategy for ordering concurrent edits of a list.
 *
 * @param <M> the type of the message that announces an accepted edit to the proxies
 */
interface ListVariant<M> {
  /** Returns the list as read by an operator that is connected to {@code proxy}. */
  Snapshot read(int proxy);

  /** Submits an edit based on {@code base}; returns empty if the edit is refused. */
  Optional<M> submit(Edit edit, Snapshot base);

  /** Delivers the message of an accepted edit to a proxy. */
  void deliver(int proxy, M message);

  /** Returns the serial of the edit that is in effect at a proxy, for each key. */
  List<Long> currentValues(int proxy);
}

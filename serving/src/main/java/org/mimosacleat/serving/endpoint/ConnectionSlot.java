package org.mimosacleat.serving.endpoint;

import java.util.Optional;

/** What a pool gives to the holder of a permit. */
sealed interface ConnectionSlot {
  /**
   * An idle connection of the team.
   *
   * @param pooled the connection, now in use
   */
  record Idle(PooledConnection pooled) implements ConnectionSlot {}

  /**
   * The right to open a connection.
   *
   * @param evicted the idle connection of another team that must be closed first, if any
   */
  record Open(Optional<PooledConnection> evicted) implements ConnectionSlot {}

  /** Nothing: no connection of the team is idle and none may be opened. */
  record None() implements ConnectionSlot {}
}

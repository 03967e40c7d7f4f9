package org.mimosacleat.core.session;

import java.util.Optional;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.position.Position;

/**
 * Tracks, at the home of a group, the log position that the next read of each session must see.
 *
 * <p>The home calls {@link #recordAcknowledgedWrite} before it answers a write, and {@link
 * #required} when a read arrives. After a change of home or of primary it calls {@link #setFloor}
 * first; until then no position is known to include all acknowledged writes.
 */
public interface SessionPositions {
  /**
   * Returns a position that includes every acknowledged write of the session, or empty if none is
   * known, in which case only the primary may serve the read.
   */
  Optional<Position> required(SessionId session);

  /** Returns a position that includes every acknowledged write of all sessions, or empty. */
  Optional<Position> highest();

  /**
   * Records an acknowledged write.
   *
   * @param commit a position at or after the commit of the write
   */
  void recordAcknowledgedWrite(SessionId session, Position commit);

  /**
   * Sets the floor: the position that sessions without a recorded write require.
   *
   * @param position for a new home, the position of the primary polled after the home acquired the
   *     lease; for a new primary, the position at which its term starts
   */
  void setFloor(Position position);

  /**
   * Clears the floor when this VM is no longer the home: another home may acknowledge writes of the
   * same sessions, so no position is known that a read must see until the floor is set again.
   */
  void clearFloor();
}

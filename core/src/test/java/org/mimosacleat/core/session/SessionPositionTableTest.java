package org.mimosacleat.core.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

class SessionPositionTableTest {
  private static final SessionId MEMBER = new SessionId("member-7");

  private final SessionPositions positions = new SessionPositionTable(16);

  @Test
  void positionsAreUnknownBeforeFloorIsSet() {
    positions.recordAcknowledgedWrite(MEMBER, at(1, 90));

    assertEquals(Optional.empty(), positions.required(MEMBER));
    assertEquals(Optional.empty(), positions.highest());
  }

  @Test
  void sessionWithoutWritesRequiresFloor() {
    positions.setFloor(at(1, 500));

    assertEquals(Optional.of(at(1, 500)), positions.required(MEMBER));
  }

  /**
   * Guards against: a home reads by positions of an earlier time as home, and misses newer writes.
   */
  @Test
  void positionsAreUnknownAfterAnotherVmWasHome() {
    positions.setFloor(at(1, 500));

    positions.clearFloor();

    assertEquals(Optional.empty(), positions.required(MEMBER));
    positions.setFloor(at(1, 900));
    assertEquals(Optional.of(at(1, 900)), positions.required(MEMBER));
  }

  @Test
  void laterTermReplacesFloorAndKeepsAcknowledgedWrites() {
    positions.setFloor(at(1, 500));
    positions.recordAcknowledgedWrite(MEMBER, at(1, 300));
    positions.setFloor(at(2, 250));

    assertEquals(Optional.of(at(2, 300)), positions.required(MEMBER));
    positions.setFloor(at(1, 900));
    assertEquals(Optional.of(at(2, 300)), positions.required(MEMBER));
  }

  @Test
  void slotCountMustBePowerOfTwo() {
    IllegalArgumentException error =
        assertThrows(IllegalArgumentException.class, () -> new SessionPositionTable(12));

    assertTrue(error.getMessage().contains("12"));
  }

  @Property(seed = "4001", tries = 300)
  void requiredPositionIncludesOwnWrites(
      @ForAll @Size(max = 60) List<@IntRange(max = 39) Integer> writers) {
    SessionPositions table = new SessionPositionTable(4);
    table.setFloor(at(1, 0));
    Map<SessionId, Position> written = new HashMap<>();
    long log = 0;
    for (int writer : writers) {
      SessionId session = new SessionId("session-" + writer);
      Position commit = at(1, ++log);
      table.recordAcknowledgedWrite(session, commit);
      written.put(session, commit);
    }
    written.forEach(
        (session, commit) ->
            assertTrue(table.required(session).orElseThrow().includes(commit), session.value()));
    assertEquals(log, table.highest().orElseThrow().log().bytes());
  }

  private static Position at(long term, long log) {
    return new Position(new Term(term), new LogPosition(log));
  }
}

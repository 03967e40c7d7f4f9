package org.mimosacleat.core.position;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PositionTest {
  @Test
  void positionOfLaterTermIncludesLongerLogOfEarlierTerm() {
    Position replaced = new Position(new Term(1), new LogPosition(900));
    Position promoted = new Position(new Term(2), new LogPosition(100));

    assertTrue(promoted.includes(replaced));
    assertFalse(replaced.includes(promoted));
  }

  @Test
  void logPositionParsesAndFormatsPostgresNotation() {
    assertEquals("16/B374D848", LogPosition.parse("16/B374D848").toString());
  }

  @Test
  void errorMessageContainsMalformedLogPosition() {
    IllegalArgumentException error =
        assertThrows(IllegalArgumentException.class, () -> LogPosition.parse("12"));

    assertTrue(error.getMessage().contains("12"));
  }
}

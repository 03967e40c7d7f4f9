package org.mimosacleat.serving.endpoint;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class UrgencyTest {
  private static final Instant NOW = Instant.EPOCH;
  private static final Urgency MISSED = new Urgency(0, NOW.minusMillis(1));
  private static final Urgency SOON = new Urgency(2, NOW.plusMillis(10));
  private static final Urgency LATER = new Urgency(2, NOW.plusMillis(20));
  private static final Urgency HIGH_PRIORITY = new Urgency(1, NOW.plusMillis(30));

  @Test
  void statementThatCanMeetItsObjectiveGoesBeforeLateOne() {
    assertTrue(LATER.isBefore(MISSED, NOW));
    assertFalse(MISSED.isBefore(LATER, NOW));
  }

  @Test
  void higherPriorityGoesFirst() {
    assertTrue(HIGH_PRIORITY.isBefore(SOON, NOW));
  }

  @Test
  void withEqualPriorityEarlierObjectiveGoesFirst() {
    assertTrue(SOON.isBefore(LATER, NOW));
    assertFalse(LATER.isBefore(SOON, NOW));
  }
}

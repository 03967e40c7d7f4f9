package org.mimosacleat.serving.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SessionStateTest {
  private static final String HALF = "x".repeat(SessionState.MAX_VALUE_CHARACTERS / 2 - 1);

  private final SessionState state = new SessionState(Optional.empty());

  /** Guards against values that together are too large to be sent to a gateway. */
  @Test
  void valuesThatExceedTheLimitTogetherAreRefused() {
    assertTrue(state.setValue("a", HALF));
    assertTrue(state.setValue("b", HALF));

    assertFalse(state.setValue("c", ""));

    assertEquals(Map.of("a", HALF, "b", HALF), state.values());
  }

  @Test
  void replacedValueNoLongerCounts() {
    state.setValue("a", HALF);
    state.setValue("b", HALF);

    assertTrue(state.setValue("b", "short"));
    assertTrue(state.setValue("c", "short"));
  }
}

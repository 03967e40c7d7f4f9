package org.mimosacleat.core.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LeaseSafetyTest {
  private static final int STEPS = 3_000;
  private static final int WRONG_SEEDS = 200;

  @Property(tries = 150, seed = "501")
  void noReadMissesAnAcknowledgedWrite(@ForAll long seed) {
    assertEquals(Optional.empty(), run(seed, LeaseWorld.Mistake.NONE), "seed " + seed);
  }

  @Test
  void writesAreAcknowledgedDespiteTheFaults() {
    LeaseWorld world = new LeaseWorld(17, LeaseWorld.Mistake.NONE);
    for (int step = 0; step < STEPS; step++) {
      world.step();
      world.violation();
    }

    assertTrue(world.acknowledgements > STEPS / 10, "writes: " + world.acknowledgements);
  }

  @Test
  void endpointsThatForgetTokensAreFound() {
    assertNotEquals(Optional.empty(), firstViolation(LeaseWorld.Mistake.ENDPOINTS_FORGET_TOKENS));
  }

  @Test
  void countingFromTheAnswerIsFound() {
    assertNotEquals(
        Optional.empty(), firstViolation(LeaseWorld.Mistake.TIMES_COUNT_FROM_THE_ANSWER));
  }

  private static Optional<String> firstViolation(LeaseWorld.Mistake mistake) {
    for (long seed = 0; seed < WRONG_SEEDS; seed++) {
      Optional<String> violation = run(seed, mistake);
      if (violation.isPresent()) {
        return violation;
      }
    }
    return Optional.empty();
  }

  private static Optional<String> run(long seed, LeaseWorld.Mistake mistake) {
    LeaseWorld world = new LeaseWorld(seed, mistake);
    for (int step = 0; step < STEPS; step++) {
      world.step();
      Optional<String> violation = world.violation();
      if (violation.isPresent()) {
        return violation;
      }
    }
    return Optional.empty();
  }
}

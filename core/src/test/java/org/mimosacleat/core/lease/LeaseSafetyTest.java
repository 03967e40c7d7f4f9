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
  private static final int FAULT_SEEDS = 200;

  @Property(tries = 150, seed = "501")
  void noReadMissesAnAcknowledgedWrite(@ForAll long seed) {
    assertEquals(Optional.empty(), run(seed, LeaseSimulation.Fault.NONE), "seed " + seed);
  }

  @Test
  void writesAreAcknowledgedDespiteTheFaults() {
    LeaseSimulation simulation = new LeaseSimulation(17, LeaseSimulation.Fault.NONE);
    for (int step = 0; step < STEPS; step++) {
      simulation.step();
      simulation.findViolation();
    }

    assertTrue(simulation.acknowledgements > STEPS / 10, "writes: " + simulation.acknowledgements);
  }

  @Test
  void simulationDetectsEndpointsThatForgetTokens() {
    assertNotEquals(
        Optional.empty(), firstViolation(LeaseSimulation.Fault.ENDPOINTS_FORGET_TOKENS));
  }

  @Test
  void simulationDetectsLeaseDurationCountedFromTheResponse() {
    assertNotEquals(
        Optional.empty(), firstViolation(LeaseSimulation.Fault.DURATION_COUNTS_FROM_RESPONSE));
  }

  private static Optional<String> firstViolation(LeaseSimulation.Fault fault) {
    for (long seed = 0; seed < FAULT_SEEDS; seed++) {
      Optional<String> violation = run(seed, fault);
      if (violation.isPresent()) {
        return violation;
      }
    }
    return Optional.empty();
  }

  private static Optional<String> run(long seed, LeaseSimulation.Fault fault) {
    LeaseSimulation simulation = new LeaseSimulation(seed, fault);
    for (int step = 0; step < STEPS; step++) {
      simulation.step();
      Optional<String> violation = simulation.findViolation();
      if (violation.isPresent()) {
        return violation;
      }
    }
    return Optional.empty();
  }
}

package org.mimosacleat.core.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PromotionSimulationTest {
  private static final long SEEDS = 150;

  @Property(seed = "4004", tries = 200)
  void acknowledgedWritesSurviveAndReplacedPrimariesAcknowledgeNothing(@ForAll long seed) {
    PromotionSimulation simulation = run(seed, UnaryOperator.identity(), false);

    assertEquals(0, simulation.termsWithTwoPrimaries(), "terms with two primaries, seed " + seed);
    assertEquals(0, simulation.lostWrites(), "lost writes, seed " + seed);
    assertEquals(0, simulation.lateAcknowledgements(), "late acknowledgements, seed " + seed);
  }

  @Test
  void promotionsAndWritesHappenUnderFaults() {
    int promotions =
        LongStream.range(0, SEEDS)
            .mapToInt(seed -> run(seed, UnaryOperator.identity(), false).promotions())
            .sum();
    int acknowledged =
        LongStream.range(0, SEEDS)
            .mapToInt(seed -> run(seed, UnaryOperator.identity(), false).acknowledged())
            .sum();

    assertTrue(promotions > SEEDS, "promotions: " + promotions);
    assertTrue(acknowledged > SEEDS, "acknowledged writes: " + acknowledged);
  }

  @Test
  void simulationDetectsPromotionAfterOneFence() {
    assertTrue(
        LongStream.range(0, SEEDS)
            .anyMatch(seed -> violations(seed, SingleFenceStateMachine::new) > 0));
  }

  @Test
  void simulationDetectsPromotionOfAnyFencedEndpoint() {
    assertTrue(
        LongStream.range(0, SEEDS)
            .anyMatch(seed -> violations(seed, PositionIgnoringStateMachine::new) > 0));
  }

  @Test
  void simulationDetectsHomesThatIgnoreTheirLease() {
    assertTrue(
        LongStream.range(0, SEEDS)
            .anyMatch(
                seed -> run(seed, UnaryOperator.identity(), true).lateAcknowledgements() > 0));
  }

  private static int violations(long seed, UnaryOperator<PromotionStateMachine> wrapper) {
    PromotionSimulation simulation = run(seed, wrapper, false);
    return simulation.lostWrites()
        + simulation.lateAcknowledgements()
        + simulation.termsWithTwoPrimaries();
  }

  private static PromotionSimulation run(
      long seed, UnaryOperator<PromotionStateMachine> wrapper, boolean ignoreLease) {
    PromotionSimulation simulation = new PromotionSimulation(seed, wrapper, ignoreLease);
    simulation.run();
    return simulation;
  }
}

package org.mimosacleat.core.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class PromotionOracleTest {
  private static final long SEEDS = 150;

  @Property(seed = "4004", tries = 200)
  void noFaultLosesAcknowledgedWritesOrLetsReplacedPrimariesAcknowledge(@ForAll long seed) {
    PromotionOracle oracle = run(seed, UnaryOperator.identity(), false);

    assertEquals(0, oracle.doubled(), "terms with two primaries, seed " + seed);
    assertEquals(0, oracle.lost(), "lost writes, seed " + seed);
    assertEquals(0, oracle.late(), "late acknowledgements, seed " + seed);
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
  void oracleCatchesPromotionAfterOneFence() {
    assertTrue(LongStream.range(0, SEEDS).anyMatch(seed -> faults(seed, HastyMachine::new) > 0));
  }

  @Test
  void oracleCatchesPromotionOfAnyFencedEndpoint() {
    assertTrue(
        LongStream.range(0, SEEDS).anyMatch(seed -> faults(seed, PositionBlindMachine::new) > 0));
  }

  @Test
  void oracleCatchesHomesThatIgnoreTheirLease() {
    assertTrue(
        LongStream.range(0, SEEDS)
            .anyMatch(seed -> run(seed, UnaryOperator.identity(), true).late() > 0));
  }

  private static int faults(long seed, UnaryOperator<PromotionMachine> wrapper) {
    PromotionOracle oracle = run(seed, wrapper, false);
    return oracle.lost() + oracle.late() + oracle.doubled();
  }

  private static PromotionOracle run(
      long seed, UnaryOperator<PromotionMachine> wrapper, boolean leaseBlind) {
    PromotionOracle oracle = new PromotionOracle(seed, wrapper, leaseBlind);
    oracle.run();
    return oracle;
  }
}

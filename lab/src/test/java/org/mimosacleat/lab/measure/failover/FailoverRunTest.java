package org.mimosacleat.lab.measure.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.mimosacleat.core.promotion.PromotionSettings;
import org.mimosacleat.lab.measure.Deployment;

class FailoverRunTest {
  private static final long SEED = 61;

  @Test
  void everyLossOfThePrimaryEndsWithoutLostWrites() {
    for (Scenario scenario : Scenario.values()) {
      FailoverResult result = run(scenario);

      assertEquals(scenario != Scenario.ONE_SIDED, result.gap().isPresent(), scenario.label());
      assertEquals(0, result.lostAcknowledged(), scenario.label());
    }
  }

  @Test
  void noEndpointIsPromotedWhenOnlyTheHomeCannotReachThePrimary() {
    assertEquals(0, run(Scenario.ONE_SIDED).promotions());
    assertTrue(run(Scenario.CUT_OFF).promotions() > 0);
  }

  private static FailoverResult run(Scenario scenario) {
    return new FailoverRun(Deployment.CARTAGO, scenario, PromotionSettings.TABLE_LEASE, SEED).run();
  }
}

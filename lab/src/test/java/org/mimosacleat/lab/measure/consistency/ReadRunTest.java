package org.mimosacleat.lab.measure.consistency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.mimosacleat.lab.measure.Deployment;

class ReadRunTest {
  @Test
  void routerServesNoStaleReadAndNoMoreThanTheBound() {
    ReadRun run = new ReadRun(Deployment.KAITIAKI, 1, 62);
    run.run();
    ReadShares own = run.readYourWritesShares();

    assertEquals(0, own.routedStale() + run.boundedStalenessShares().routedStale());
    assertTrue(own.randomStale() > 0);
    assertTrue(own.routedPercent() > own.randomPercent());
    assertTrue(own.routedPercent() <= own.boundWithWaitPercent());
  }
}

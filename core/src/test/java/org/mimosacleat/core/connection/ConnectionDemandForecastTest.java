package org.mimosacleat.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.time.PausedClock;

class ConnectionDemandForecastTest {
  private final PausedClock clock = new PausedClock();
  private final ConnectionDemandForecast forecast =
      new ConnectionDemandForecast(2, Duration.ofMillis(10), clock);

  private void observe(int demand, Duration elapsed) {
    clock.advance(elapsed);
    forecast.observe(demand, 0);
  }

  @Test
  void risingDemandIsForecastOneOpenTimeAhead() {
    for (int demand = 1; demand <= 20; demand++) {
      observe(demand, Duration.ofMillis(10));
    }

    assertTrue(forecast.targetSize() >= 21, "wanted " + forecast.targetSize());
  }

  @Test
  void shortDipClosesNoConnections() {
    observe(20, Duration.ofMillis(10));
    observe(1, Duration.ofMillis(200));

    assertTrue(forecast.targetSize() >= 20);
  }

  @Test
  void targetFallsToTheMinimumAfterLongIdleTime() {
    observe(20, Duration.ofMillis(10));
    observe(0, Duration.ofSeconds(60));
    observe(0, Duration.ofSeconds(60));

    assertEquals(2, forecast.targetSize());
  }
}

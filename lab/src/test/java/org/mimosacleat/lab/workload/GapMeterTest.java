package org.mimosacleat.lab.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class GapMeterTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  @Test
  void openGapIsIncludedAndOutOfOrderAcknowledgementsAreIgnored() {
    GapMeter meter = new GapMeter(START);
    meter.recordAcknowledgement(START.plusMillis(100));
    meter.recordAcknowledgement(START.plusMillis(400));
    meter.recordAcknowledgement(START.plusMillis(350));
    assertEquals(Duration.ofMillis(300), meter.longestGap(START.plusMillis(500)));
    assertEquals(Duration.ofMillis(600), meter.longestGap(START.plusMillis(1000)));
  }
}

package org.mimosacleat.lab.workload;

import java.time.Duration;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts the requests of one action by outcome and records the response times. */
final class ActionMeter {
  private static final int SIGNIFICANT_DIGITS = 2;

  private final LongAdder served = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final LongAdder unknown = new LongAdder();
  private final Histogram responseTimes = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

  void record(RequestOutcome outcome, Duration elapsed) {
    LongAdder counter =
        switch (outcome) {
          case SERVED -> served;
          case REFUSED -> refused;
          case UNKNOWN -> unknown;
        };
    counter.increment();
    if (outcome == RequestOutcome.SERVED) {
      responseTimes.recordValue(elapsed.toNanos());
    }
  }

  ActionReport report(String name) {
    return new ActionReport(
        name, served.sum(), refused.sum(), unknown.sum(), percentile(50), percentile(99));
  }

  private Duration percentile(double percentile) {
    return Duration.ofNanos(responseTimes.getValueAtPercentile(percentile));
  }
}

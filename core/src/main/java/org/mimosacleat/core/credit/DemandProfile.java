package org.mimosacleat.core.credit;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The demand for credits by hour of the day, learned from previous days. Immutable: {@link
 * #withSample} returns a new profile.
 *
 * @param rates microcredits per second for each of the {@value #HOURS} hours in UTC; negative for
 *     hours without a sample
 */
public record DemandProfile(List<Double> rates) {
  /** The number of hours in a day. */
  public static final int HOURS = 24;

  /** The profile without any samples. */
  public static final DemandProfile UNKNOWN = new DemandProfile(Collections.nCopies(HOURS, -1.0));

  private static final double NEW_SAMPLE_WEIGHT = 0.1;

  /** Checks the number of hours. */
  public DemandProfile {
    rates = List.copyOf(rates);
    if (rates.size() != HOURS) {
      throw new IllegalArgumentException(
          "demand profile must have " + HOURS + " hourly rates, but has " + rates.size());
    }
  }

  /** Returns a copy of this profile with one more sample of the demand. */
  public DemandProfile withSample(Instant at, double rate) {
    int hour = at.atOffset(ZoneOffset.UTC).getHour();
    List<Double> updated = new ArrayList<>(rates);
    double previous = rates.get(hour);
    double weight = previous < 0 ? 1 : NEW_SAMPLE_WEIGHT;
    updated.set(hour, Math.max(0, previous) + weight * (rate - Math.max(0, previous)));
    return new DemandProfile(updated);
  }

  /**
   * Returns the mean spending rate over a day under a cap; hours without a sample count with the
   * full cap.
   */
  public double meanSpendingUnder(double cap) {
    double sum = 0;
    for (double rate : rates) {
      sum += rate < 0 ? cap : Math.min(rate, cap);
    }
    return sum / HOURS;
  }
}

package org.mimosacleat.core.credit;

import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The demand for credits by hour of the day, learned from the days before. It is never changed:
 * {@link #with} returns a new one.
 *
 * @param rates microcredits a second for each of the {@value #HOURS} hours in UTC; negative where
 *     nothing is known yet
 */
public record DemandProfile(List<Double> rates) {
  /** Hours of a day. */
  public static final int HOURS = 24;

  /** The profile of a fleet that has not run yet. */
  public static final DemandProfile UNKNOWN = new DemandProfile(Collections.nCopies(HOURS, -1.0));

  private static final double WEIGHT_OF_NEW = 0.1;

  /** Checks the number of hours. */
  public DemandProfile {
    rates = List.copyOf(rates);
    if (rates.size() != HOURS) {
      throw new IllegalArgumentException(
          "a profile must have " + HOURS + " hours, but has " + rates.size());
    }
  }

  /** Returns the profile with one more sample of the demand. */
  public DemandProfile with(Instant at, double rate) {
    int hour = at.atOffset(ZoneOffset.UTC).getHour();
    List<Double> changed = new ArrayList<>(rates);
    double before = rates.get(hour);
    double weight = before < 0 ? 1 : WEIGHT_OF_NEW;
    changed.set(hour, Math.max(0, before) + weight * (rate - Math.max(0, before)));
    return new DemandProfile(changed);
  }

  /** Returns the mean over a day of what would be spent under a cap; unknown hours spend it all. */
  public double meanSpendUnder(double cap) {
    double sum = 0;
    for (double rate : rates) {
      sum += rate < 0 ? cap : Math.min(rate, cap);
    }
    return sum / HOURS;
  }
}

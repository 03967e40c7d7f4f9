package org.mimosacleat.lab.measure.credit;

import java.util.SplittableRandom;

/**
 * The uncapped demand of a fleet over 30 days, per minute. It is high by day and low by night, and
 * now and then rises suddenly to ten times its value for some minutes.
 */
final class MonthlyDemand {
  static final int DAYS = 30;
  static final int MINUTES_PER_DAY = 24 * 60;
  static final int MINUTES = DAYS * MINUTES_PER_DAY;
  static final double MAX_RATE = 10_000;
  static final double MIN_RATE = 100;
  private static final int MEAN_MINUTES_BETWEEN_SWINGS = 300;
  private static final int SWING_MINUTES = 20;
  private static final double NIGHT_RATE = 300;
  private static final double DAY_RATE = 2_500;
  private static final double SWING_FACTOR = 10;

  private final double[] rates = new double[MINUTES];

  MonthlyDemand(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int swingMinutesLeft = 0;
    for (int minute = 0; minute < MINUTES; minute++) {
      swingMinutesLeft =
          random.nextInt(MEAN_MINUTES_BETWEEN_SWINGS) == 0
              ? SWING_MINUTES
              : Math.max(0, swingMinutesLeft - 1);
      double noise = 0.7 + 0.6 * random.nextDouble();
      double demand = rateByTimeOfDay(minute) * noise * (swingMinutesLeft > 0 ? SWING_FACTOR : 1);
      rates[minute] = Math.clamp(demand, MIN_RATE, MAX_RATE);
    }
  }

  /** Returns the demand of a minute, in microcredits per second. */
  double rate(int minute) {
    return rates[minute];
  }

  /** Returns the cost of the whole demand, in microcredits. */
  double total() {
    double total = 0;
    for (double rate : rates) {
      total += rate * 60;
    }
    return total;
  }

  private static double rateByTimeOfDay(int minute) {
    double phase = 2 * Math.PI * (minute % MINUTES_PER_DAY) / MINUTES_PER_DAY;
    double day = (1 - Math.cos(phase)) / 2;
    return NIGHT_RATE + (DAY_RATE - NIGHT_RATE) * day * day;
  }
}

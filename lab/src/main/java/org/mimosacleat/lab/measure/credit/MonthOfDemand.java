package org.mimosacleat.lab.measure.credit;

import java.util.SplittableRandom;

/**
 * What a fleet would spend, minute by minute, over 30 days if nothing capped it: busy by day, quiet
 * by night, with sudden swings of ten times that last some minutes.
 */
final class MonthOfDemand {
  static final int DAYS = 30;
  static final int MINUTES_A_DAY = 24 * 60;
  static final int MINUTES = DAYS * MINUTES_A_DAY;
  static final double MAXIMUM_RATE = 10_000;
  static final double MINIMUM_RATE = 100;
  private static final int SWING_EVERY = 300;
  private static final int SWING_LENGTH = 20;
  private static final double QUIET = 300;
  private static final double BUSY = 2_500;
  private static final double SWING = 10;

  private final double[] rates = new double[MINUTES];

  MonthOfDemand(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int swingLeft = 0;
    for (int minute = 0; minute < MINUTES; minute++) {
      swingLeft = random.nextInt(SWING_EVERY) == 0 ? SWING_LENGTH : Math.max(0, swingLeft - 1);
      double noise = 0.7 + 0.6 * random.nextDouble();
      double wanted = byHour(minute) * noise * (swingLeft > 0 ? SWING : 1);
      rates[minute] = Math.clamp(wanted, MINIMUM_RATE, MAXIMUM_RATE);
    }
  }

  /** Returns microcredits a second. */
  double rate(int minute) {
    return rates[minute];
  }

  /** Returns the microcredits that all demand would cost. */
  double total() {
    double total = 0;
    for (double rate : rates) {
      total += rate * 60;
    }
    return total;
  }

  private static double byHour(int minute) {
    double phase = 2 * Math.PI * (minute % MINUTES_A_DAY) / MINUTES_A_DAY;
    double day = (1 - Math.cos(phase)) / 2;
    return QUIET + (BUSY - QUIET) * day * day;
  }
}

package org.mimosacleat.lab.measure.credit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures how much of 30 days' credits is used, and whether they last, with credits for half of
 * the demand, for nine tenths, and for more than all.
 */
public final class CreditExperiment implements Experiment {
  private static final double[] COVERED = {0.5, 0.9, 1.2};
  private static final double MINUTE_SECONDS = 60;

  /** Needs nothing. */
  public CreditExperiment() {}

  @Override
  public String name() {
    return "credits";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    MonthOfDemand month = new MonthOfDemand(seed);
    List<Reading> readings = new ArrayList<>();
    for (double covered : COVERED) {
      double credits = covered * month.total();
      String scene = ", credits for " + Math.round(100 * covered) + "% of demand";
      PacedFleet fleet = new PacedFleet((long) credits, seed);
      readings.addAll(spend(scene, "ledger and pace", month, credits, fleet::minute));
      readings.addAll(
          spend(scene, "flat daily cap", month, credits, new DailyCap(credits)::minute));
      readings.addAll(spend(scene, "no pacing", month, credits, demand -> demand));
    }
    return readings;
  }

  /** Spends by a policy until the credits are gone; the policy returns the rate that it allows. */
  private static List<Reading> spend(
      String scene,
      String variant,
      MonthOfDemand month,
      double credits,
      DoubleUnaryOperator policy) {
    double spent = 0;
    double asked = 0;
    int minutesWithout = 0;
    for (int minute = 0; minute < MonthOfDemand.MINUTES; minute++) {
      double cost = policy.applyAsDouble(month.rate(minute)) * MINUTE_SECONDS;
      asked += cost;
      double paid = Math.min(cost, credits - spent);
      spent += paid;
      double least = MonthOfDemand.MINIMUM_RATE * MINUTE_SECONDS;
      minutesWithout += paid < least - 1 ? 1 : 0;
    }
    double possible = Math.min(credits, month.total());
    return List.of(
        new Reading("used of what could be" + scene, variant, "%", 100 * spent / possible, ">= 95"),
        new Reading(
            "overspent" + scene,
            variant,
            "%",
            100 * Math.max(0, asked - credits) / credits,
            "<= 0"),
        new Reading(
            "hours without credits" + scene,
            variant,
            "h",
            minutesWithout / MINUTE_SECONDS,
            "<= 0"));
  }

  /** An equal part of the credits for each day, spent on demand until it is gone. */
  private static final class DailyCap {
    private final double daily;
    private double left;
    private int minute;

    DailyCap(double credits) {
      this.daily = credits / MonthOfDemand.DAYS;
    }

    double minute(double demand) {
      left = minute++ % MonthOfDemand.MINUTES_A_DAY == 0 ? daily : left;
      double cost = Math.min(demand * MINUTE_SECONDS, left);
      left -= cost;
      return cost / MINUTE_SECONDS;
    }
  }
}

package org.mimosacleat.lab.measure.credit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures which share of the credits for 30 days is used, and whether they last, with credits for
 * 50%, 90% and 120% of the demand.
 */
public final class CreditExperiment implements Experiment {
  private static final double[] COVERAGES = {0.5, 0.9, 1.2};
  private static final double SECONDS_PER_MINUTE = 60;

  /** Creates the experiment. */
  public CreditExperiment() {}

  @Override
  public String name() {
    return "credits";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    MonthlyDemand month = new MonthlyDemand(seed);
    List<Reading> readings = new ArrayList<>();
    for (double coverage : COVERAGES) {
      double credits = coverage * month.total();
      String scenario = ", credits for " + Math.round(100 * coverage) + "% of demand";
      PacedFleet fleet = new PacedFleet((long) credits, seed);
      readings.addAll(simulate(scenario, "ledger and pace", month, credits, fleet::runMinute));
      readings.addAll(
          simulate(scenario, "flat daily cap", month, credits, new DailyCap(credits)::runMinute));
      readings.addAll(simulate(scenario, "no pacing", month, credits, demand -> demand));
    }
    return readings;
  }

  /** Simulates spending until the credits run out; the policy maps demand to the allowed rate. */
  private static List<Reading> simulate(
      String scenario,
      String variant,
      MonthlyDemand month,
      double credits,
      DoubleUnaryOperator policy) {
    double spent = 0;
    double requested = 0;
    int minutesWithoutCredits = 0;
    for (int minute = 0; minute < MonthlyDemand.MINUTES; minute++) {
      double cost = policy.applyAsDouble(month.rate(minute)) * SECONDS_PER_MINUTE;
      requested += cost;
      double paid = Math.min(cost, credits - spent);
      spent += paid;
      double minimum = MonthlyDemand.MIN_RATE * SECONDS_PER_MINUTE;
      minutesWithoutCredits += paid < minimum - 1 ? 1 : 0;
    }
    double possible = Math.min(credits, month.total());
    return List.of(
        new Reading(
            "used of what could be" + scenario, variant, "%", 100 * spent / possible, ">= 95"),
        new Reading(
            "overspent" + scenario,
            variant,
            "%",
            100 * Math.max(0, requested - credits) / credits,
            "<= 0"),
        new Reading(
            "hours without credits" + scenario,
            variant,
            "h",
            minutesWithoutCredits / SECONDS_PER_MINUTE,
            "<= 0"));
  }

  /** Baseline: each day has an equal part of the credits, spent on demand until it runs out. */
  private static final class DailyCap {
    private final double dailyCredits;
    private double remaining;
    private int minute;

    DailyCap(double credits) {
      this.dailyCredits = credits / MonthlyDemand.DAYS;
    }

    double runMinute(double demand) {
      remaining = minute++ % MonthlyDemand.MINUTES_PER_DAY == 0 ? dailyCredits : remaining;
      double cost = Math.min(demand * SECONDS_PER_MINUTE, remaining);
      remaining -= cost;
      return cost / SECONDS_PER_MINUTE;
    }
  }
}

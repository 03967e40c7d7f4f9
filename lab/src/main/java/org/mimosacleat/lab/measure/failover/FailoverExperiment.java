package org.mimosacleat.lab.measure.failover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.mimosacleat.core.promotion.PromotionSettings;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures the time from the loss of a primary to the first acknowledged write on the next one, for
 * each scenario, and compares it to a fixed lease that has to expire first. Also measures the
 * latency that waiting for a replica adds to writes, and the writes that are lost without that
 * wait.
 */
public final class FailoverExperiment implements Experiment {
  private static final int LOSSES = 100;
  private static final Duration FIXED_LEASE = Duration.ofSeconds(3);
  private static final Duration FIXED_RENEWAL = Duration.ofSeconds(1);
  private static final String RESERVED = "term reserved ahead";
  private static final String CLAIMED = "term claimed at the loss";

  /** Creates the experiment. */
  public FailoverExperiment() {}

  @Override
  public String name() {
    return "failover";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    List<Reading> readings = new ArrayList<>();
    for (Scenario scenario : Scenario.values()) {
      List<FailoverResult> results = runLosses(deployment, scenario, withReservedTerms(8), seed);
      addGap(readings, scenario, RESERVED, results);
      if (scenario == Scenario.CUT_OFF) {
        addAcknowledgement(readings, results);
      }
    }
    for (Scenario scenario : List.of(Scenario.CUT_OFF, Scenario.TABLE_DOWN)) {
      addGap(
          readings, scenario, CLAIMED, runLosses(deployment, scenario, withReservedTerms(0), seed));
    }
    addFixedLease(
        readings, runLosses(deployment, Scenario.STOPPED, withReservedTerms(8), seed), seed);
    return readings;
  }

  private static List<FailoverResult> runLosses(
      Deployment deployment, Scenario scenario, PromotionSettings settings, long seed) {
    return LongStream.range(0, LOSSES)
        .mapToObj(
            loss -> new FailoverRun(deployment, scenario, settings, seed * LOSSES + loss).run())
        .toList();
  }

  private static PromotionSettings withReservedTerms(int terms) {
    PromotionSettings base = PromotionSettings.TABLE_LEASE;
    return new PromotionSettings(
        base.missedPollThreshold(),
        base.requiredZones(),
        base.evidenceTimeout(),
        base.fenceGracePeriod(),
        base.promoteTimeout(),
        base.retryInterval(),
        terms,
        false);
  }

  private static void addGap(
      List<Reading> readings, Scenario scenario, String variant, List<FailoverResult> results) {
    long promotions = results.stream().filter(result -> result.promotions() > 0).count();
    if (scenario == Scenario.ONE_SIDED) {
      readings.add(
          new Reading("promotions, " + scenario.label(), variant, "of " + LOSSES, promotions, "0"));
      return;
    }
    List<Double> gaps = gaps(results);
    String measure = "failover gap, " + scenario.label();
    readings.add(
        new Reading(
            measure + ", over within 5 s", variant, "of " + LOSSES, gaps.size(), "" + LOSSES));
    if (!gaps.isEmpty()) {
      readings.add(new Reading(measure + ", median", variant, "ms", quantile(gaps, 0.5), "1000"));
      readings.add(new Reading(measure + ", worst", variant, "ms", quantile(gaps, 1), "2000"));
    }
  }

  /** Baseline: the lease of the primary has to expire before the measured promotion starts. */
  private static void addFixedLease(
      List<Reading> readings, List<FailoverResult> results, long seed) {
    Random random = new Random(seed);
    List<Double> gaps =
        gaps(results).stream()
            .map(
                gap ->
                    gap + FIXED_LEASE.toMillis() - random.nextDouble() * FIXED_RENEWAL.toMillis())
            .sorted()
            .toList();
    String variant = "fixed lease of 3 s, waited out";
    readings.add(
        new Reading("failover gap, median", variant, "ms", quantile(gaps, 0.5), "baseline"));
    readings.add(new Reading("failover gap, worst", variant, "ms", quantile(gaps, 1), "baseline"));
  }

  private static void addAcknowledgement(List<Reading> readings, List<FailoverResult> results) {
    List<Double> delays =
        results.stream()
            .flatMap(result -> result.acknowledgementDelays().stream())
            .map(duration -> duration.toNanos() / 1e6)
            .sorted()
            .toList();
    String variant = "acknowledged after a replica";
    readings.add(new Reading("added to a write, median", variant, "ms", quantile(delays, 0.5), ""));
    readings.add(new Reading("added to a write, p99", variant, "ms", quantile(delays, 0.99), ""));
    readings.add(
        new Reading(
            "acknowledged writes lost",
            variant,
            "of " + LOSSES + " losses",
            results.stream().mapToLong(FailoverResult::lostAcknowledged).sum(),
            "0"));
    readings.add(
        new Reading(
            "acknowledged writes lost",
            "acknowledged by the primary alone",
            "of " + LOSSES + " losses",
            results.stream().mapToLong(FailoverResult::lostIfPrimaryOnly).sum(),
            "baseline"));
  }

  private static List<Double> gaps(List<FailoverResult> results) {
    return results.stream()
        .flatMap(result -> result.gap().stream())
        .map(duration -> duration.toNanos() / 1e6)
        .sorted()
        .toList();
  }

  private static double quantile(List<Double> ascending, double share) {
    if (ascending.isEmpty()) {
      return Double.NaN;
    }
    int index = (int) Math.ceil(share * ascending.size()) - 1;
    return ascending.get(Math.max(0, index));
  }
}

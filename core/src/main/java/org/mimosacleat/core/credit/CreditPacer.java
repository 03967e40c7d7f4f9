package org.mimosacleat.core.credit;

import java.time.Duration;
import java.time.Instant;

/**
 * Computes the cap on the rate at which credits may be spent.
 *
 * <p>The cap is the rate at which past demand, limited to that rate, would use up the balance
 * exactly at expiry. Credits saved in hours of low demand are thus available in hours of high
 * demand. The cap is never below the even rate (balance divided by remaining time), and never so
 * high that the minimum rate could not be sustained until expiry.
 */
public final class CreditPacer {
  private static final int BISECTION_STEPS = 50;
  private static final double FALLBACK_RATE_FACTOR = 0.9;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final CreditGrant grant;
  private final PacingSettings settings;

  /** Creates a pacer for one grant of credits. */
  public CreditPacer(CreditGrant grant, PacingSettings settings) {
    this.grant = grant;
    this.settings = settings;
  }

  /** Returns the cap for the period that starts now, in microcredits per second. */
  public double cap(long balance, Instant now, DemandProfile profile) {
    double spendable = spendable(balance);
    double seconds = secondsLeft(now);
    if (spendable <= 0 || seconds <= 0) {
      return 0;
    }
    double periodSeconds = Math.min(seconds, seconds(settings.period()));
    double reservedForMinimumRate = settings.minimumRate() * (seconds - periodSeconds);
    double maxRate =
        Math.max(spendable / seconds, (spendable - reservedForMinimumRate) / periodSeconds);
    return Math.min(
        Math.min(capMatchingRate(spendable / seconds, profile), maxRate), settings.maximumRate());
  }

  /**
   * Returns the cap, in microcredits per second, while no ledger row covers the current time
   * because the store is unreachable. At this constant rate credits last until expiry, however long
   * the outage is.
   */
  public double fallbackCap(long balance, Instant since) {
    double seconds = secondsLeft(since);
    double spendable = spendable(balance);
    return seconds <= 0 || spendable <= 0
        ? 0
        : Math.min(settings.maximumRate(), FALLBACK_RATE_FACTOR * spendable / seconds);
  }

  /** Returns the end of a period that starts now. */
  public Instant endOfPeriod(Instant now) {
    Instant end = now.plus(settings.period());
    return end.isBefore(grant.expiry()) ? end : grant.expiry();
  }

  /** Returns the grant whose spending is paced. */
  public CreditGrant grant() {
    return grant;
  }

  /**
   * Returns the highest cap whose mean daily spending does not exceed the even rate, by bisection
   * up to the maximum rate.
   */
  private double capMatchingRate(double evenRate, DemandProfile profile) {
    double low = evenRate;
    double high = Math.max(evenRate, settings.maximumRate());
    if (profile.meanSpendingUnder(high) <= evenRate) {
      return high;
    }
    for (int step = 0; step < BISECTION_STEPS; step++) {
      double candidate = (low + high) / 2;
      boolean tooHigh = profile.meanSpendingUnder(candidate) > evenRate;
      low = tooHigh ? low : candidate;
      high = tooHigh ? candidate : high;
    }
    return low;
  }

  private double spendable(long balance) {
    return balance - settings.safetyMargin() * grant.microcredits();
  }

  private double secondsLeft(Instant now) {
    return seconds(Duration.between(now, grant.expiry()));
  }

  static double seconds(Duration duration) {
    return duration.toNanos() / NANOSECONDS_PER_SECOND;
  }
}

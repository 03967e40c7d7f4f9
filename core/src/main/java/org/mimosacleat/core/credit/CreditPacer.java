package org.mimosacleat.core.credit;

import java.time.Duration;
import java.time.Instant;

/**
 * Works out how fast credits may be spent.
 *
 * <p>The cap is the level at which the demand of the days before, cut off at that level, would use
 * up the balance exactly at expiry; so hours of low demand pay for hours of high demand. It is
 * never below the even pace of balance over time, and never so high that the minimum rate could not
 * be kept up until expiry.
 */
public final class CreditPacer {
  private static final int BISECTIONS = 50;
  private static final double FALLBACK_MARGIN = 0.9;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final CreditGrant grant;
  private final PaceSettings settings;

  /** Paces one grant of credits. */
  public CreditPacer(CreditGrant grant, PaceSettings settings) {
    this.grant = grant;
    this.settings = settings;
  }

  /** Returns the cap for the period that starts now, in microcredits a second. */
  public double cap(long balance, Instant now, DemandProfile profile) {
    double left = spendable(balance);
    double seconds = secondsLeft(now);
    if (left <= 0 || seconds <= 0) {
      return 0;
    }
    double periodSeconds = Math.min(seconds, seconds(settings.period()));
    double keptForLater = settings.minimumRate() * (seconds - periodSeconds);
    double most = Math.max(left / seconds, (left - keptForLater) / periodSeconds);
    return Math.min(Math.min(level(left / seconds, profile), most), settings.maximumRate());
  }

  /**
   * Returns the cap while no row covers the time, for a store that cannot be reached: a constant
   * rate that leaves credits over until expiry however long the store stays away.
   */
  public double fallbackCap(long balance, Instant since) {
    double seconds = secondsLeft(since);
    double left = spendable(balance);
    return seconds <= 0 || left <= 0
        ? 0
        : Math.min(settings.maximumRate(), FALLBACK_MARGIN * left / seconds);
  }

  /** Returns the end of a period that starts now. */
  public Instant endOfPeriod(Instant now) {
    Instant end = now.plus(settings.period());
    return end.isBefore(grant.expiry()) ? end : grant.expiry();
  }

  /** Returns the grant that is paced. */
  public CreditGrant grant() {
    return grant;
  }

  private double level(double evenRate, DemandProfile profile) {
    double low = evenRate;
    double high = Math.max(evenRate, settings.maximumRate());
    if (profile.meanSpendUnder(high) <= evenRate) {
      return high;
    }
    for (int step = 0; step < BISECTIONS; step++) {
      double middle = (low + high) / 2;
      boolean tooHigh = profile.meanSpendUnder(middle) > evenRate;
      low = tooHigh ? low : middle;
      high = tooHigh ? middle : high;
    }
    return low;
  }

  private double spendable(long balance) {
    return balance - settings.heldBack() * grant.microcredits();
  }

  private double secondsLeft(Instant now) {
    return seconds(Duration.between(now, grant.expiry()));
  }

  static double seconds(Duration duration) {
    return duration.toNanos() / NANOSECONDS_PER_SECOND;
  }
}

package org.mimosacleat.serving.selection;

import java.util.Optional;

/**
 * What a proxy knows of an endpoint that could run a statement.
 *
 * @param slots the number of statements that it executes concurrently; at least 1
 * @param answerNanos the smoothed time until it answers one statement, in nanoseconds
 * @param ownInFlight the statements of this proxy that are unanswered or wait for a connection
 * @param turn when the endpoint's next turn at this proxy is, on the scale of {@link #turnNanos()};
 *     zero if it had none
 * @param report the load by all proxies, if any source tells
 * @param costFactor multiplies the expected time; above 1 for an endpoint to be spared
 * @param warm whether a connection is open that the statement can use at once
 */
public record Candidate(
    int slots,
    long answerNanos,
    int ownInFlight,
    double turn,
    Optional<LoadReport> report,
    double costFactor,
    boolean warm) {
  /** Opening a connection occupies a slot of the endpoint for 12 ms. */
  private static final long OPENING_NANOS = 12_000_000;

  /** Returns the time that one statement takes there if none is ahead of it, in nanoseconds. */
  double costNanos() {
    return costFactor * answerNanos;
  }

  /** Returns the best known number of statements in flight: reported, else this proxy's own. */
  int knownInFlight() {
    return report.isPresent() ? report.get().inFlight() : ownInFlight;
  }

  /** Returns the expected time with a number of statements ahead that share the slots. */
  double expectedNanos(double ahead) {
    return costNanos() * (1 + ahead / slots) + (warm ? 0 : OPENING_NANOS);
  }

  /** Returns the share of all statements that the endpoint should get, up to a common factor. */
  double weight() {
    return slots / costNanos();
  }

  /** Returns the time between two turns of the endpoint if it were always busy, in nanoseconds. */
  double turnNanos() {
    return costNanos() / slots;
  }

  /** Returns whether the endpoint is to be spared where another one can run the statement. */
  boolean isSpared() {
    return costFactor > 1;
  }
}

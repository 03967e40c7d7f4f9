package org.mimosacleat.serving.selection;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The candidate whose turn is next. Turns last the shorter the more slots and speed a candidate
 * has, so statements do not bunch however stale the knowledge is. A much slower endpoint is used
 * once statements are unanswered at the others. The proxy's own unanswered statements put a
 * candidate back by some turns each, and so does reported load as far as the report is recent.
 *
 * <p>A candidate that joins later has no arrears. One with a cost factor above 1 never has: it is
 * chosen only when the unanswered statements at the others put them back further.
 *
 * @param ownDelay the turns by which each own unanswered statement puts a candidate back
 * @param reportDelay the turns by which each reported statement puts it back
 * @param memoryMillis the age at which a report has lost about two thirds of its influence, in
 *     milliseconds
 */
public record FairTurns(double ownDelay, double reportDelay, double memoryMillis)
    implements SelectionStrategy {
  /** The strategy that the comparison favours; reports only make it worse there. */
  public static final FairTurns WITHOUT_REPORTS = new FairTurns(2, 0, 1);

  /** The largest random delay, in turns, so that proxies do not take turns in step. */
  private static final double MAX_VARIATION = 0.2;

  /**
   * The largest random delay of a candidate without an open connection, in turns. Proxies then
   * begin at different times to use an endpoint that joins, where each opens a connection. With 1
   * the queue there was up to 3 times as long with 300 proxies.
   */
  private static final double MAX_COLD_VARIATION = 4;

  @Override
  public int choose(List<Candidate> candidates, RandomGenerator random) {
    double present = presentTurn(candidates);
    double latest = latestTurn(candidates);
    int best = -1;
    int spared = -1;
    double earliest = Double.MAX_VALUE;
    double earliestUnvaried = Double.MAX_VALUE;
    double earliestSpared = Double.MAX_VALUE;
    for (int index = 0; index < candidates.size(); index++) {
      Candidate candidate = candidates.get(index);
      double end = end(candidate, candidate.isSpared() ? latest : present);
      if (candidate.isSpared()) {
        spared = end < earliestSpared ? index : spared;
        earliestSpared = Math.min(end, earliestSpared);
        continue;
      }
      double varied = end + variation(candidate, random);
      best = varied < earliest ? index : best;
      earliest = Math.min(varied, earliest);
      earliestUnvaried = Math.min(end, earliestUnvaried);
    }
    return earliestSpared < earliestUnvaried ? spared : best;
  }

  /** Returns the end of the candidate's next turn, which begins at a time or later. */
  private double end(Candidate candidate, double from) {
    return Math.max(candidate.turn(), from) + (1 + delay(candidate)) * candidate.turnNanos();
  }

  private static double variation(Candidate candidate, RandomGenerator random) {
    double most = candidate.warm() ? MAX_VARIATION : MAX_COLD_VARIATION;
    return most * random.nextDouble() * candidate.turnNanos();
  }

  /** Returns the next turn of the candidate that was chosen, see {@link Candidate#turn()}. */
  public static double turnAfter(List<Candidate> candidates, int chosen) {
    Candidate candidate = candidates.get(chosen);
    double from = candidate.isSpared() ? latestTurn(candidates) : presentTurn(candidates);
    return Math.max(candidate.turn(), from) + candidate.turnNanos();
  }

  private double delay(Candidate candidate) {
    double own = ownDelay * candidate.ownInFlight();
    if (candidate.report().isEmpty()) {
      return own;
    }
    LoadReport report = candidate.report().get();
    return own + reportDelay * report.inFlight() * Math.exp(-report.ageMillis() / memoryMillis);
  }

  /** Returns the latest turn that was taken. */
  private static double presentTurn(List<Candidate> candidates) {
    double latest = 0;
    for (Candidate candidate : candidates) {
      if (!candidate.isSpared()) {
        latest = Math.max(latest, candidate.turn() - candidate.turnNanos());
      }
    }
    return latest;
  }

  /** Returns the latest of the next turns. */
  private static double latestTurn(List<Candidate> candidates) {
    double latest = 0;
    for (Candidate candidate : candidates) {
      if (!candidate.isSpared()) {
        latest = Math.max(latest, candidate.turn());
      }
    }
    return latest;
  }
}

package org.mimosacleat.serving.session;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.mimosacleat.serving.fleet.Route;
import org.mimosacleat.serving.relay.RelayContext;

/** The times of one statement that is relayed to gateways, and whether one has rejected it. */
final class RelayTimes {
  /** For the way of a reply that the gateway sends at the deadline of the statement. */
  private static final Duration REPLY_MARGIN = Duration.ofMillis(100);

  private final InstantSource clock;
  private final Route route;
  private final Instant arrivedAt;

  private boolean rejected;

  RelayTimes(InstantSource clock, Route route, Instant arrivedAt) {
    this.clock = clock;
    this.route = route;
    this.arrivedAt = arrivedAt;
  }

  /** Records that a gateway has not run the statement and will not. */
  void recordRejection() {
    rejected = true;
  }

  boolean wasRejected() {
    return rejected;
  }

  /** Returns until when to wait for a reply. */
  Instant replyDeadline() {
    return arrivedAt.plus(route.statementTimeout()).plus(REPLY_MARGIN);
  }

  /** Returns until when a statement that has not run may wait. */
  Instant waitLimit() {
    return RetryLoop.waitLimit(route, arrivedAt);
  }

  /** Returns whether another gateway could not answer before the statement's deadline. */
  boolean isTooLateForAnother() {
    return !clock.instant().isBefore(waitLimit());
  }

  /** Returns what a gateway must know, as of now. */
  RelayContext context(SessionState session) {
    return new RelayContext(
        route,
        session.team(),
        session.key(),
        session.configurationVersion(),
        session.values(),
        session.lastWrite(route.group()),
        Duration.between(arrivedAt, clock.instant()));
  }
}

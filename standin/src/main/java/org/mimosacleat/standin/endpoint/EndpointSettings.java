package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The sizes and delays of one stand-in.
 *
 * @param slots statements that run at once; others wait, administrative ones aside
 * @param maximumConnections connections that are open at once
 * @param connectDelay how long a new connection takes
 * @param serviceTime how long a statement holds its slot
 * @param receiveLag from a commit on the primary until a replica has received it
 * @param replayLag from there until reads on the replica see it
 */
public record EndpointSettings(
    int slots,
    int maximumConnections,
    Duration connectDelay,
    DelayModel serviceTime,
    DelayModel receiveLag,
    DelayModel replayLag) {
  private static final int DEFAULT_SLOTS = 3;
  private static final int DEFAULT_CONNECTIONS = 50;
  private static final Duration DEFAULT_CONNECT_DELAY = Duration.ofMillis(10);

  /** Checks the numbers. */
  public EndpointSettings {
    Checks.positive("slots", slots);
    Checks.positive("maximum connections", maximumConnections);
    Checks.notNegative("connect delay in nanoseconds", connectDelay.toNanos());
    Checks.notNull("service time", serviceTime);
    Checks.notNull("receive lag", receiveLag);
    Checks.notNull("replay lag", replayLag);
  }

  /** Three slots, 50 connections, 10 ms to connect, no service time and no lag. */
  public static EndpointSettings defaults() {
    return new EndpointSettings(
        DEFAULT_SLOTS,
        DEFAULT_CONNECTIONS,
        DEFAULT_CONNECT_DELAY,
        DelayModel.NONE,
        DelayModel.NONE,
        DelayModel.NONE);
  }

  /** Returns these settings with other lags. */
  public EndpointSettings withLag(DelayModel newReceiveLag, DelayModel newReplayLag) {
    return new EndpointSettings(
        slots, maximumConnections, connectDelay, serviceTime, newReceiveLag, newReplayLag);
  }

  /** Returns these settings with another service time. */
  public EndpointSettings withServiceTime(DelayModel newServiceTime) {
    return new EndpointSettings(
        slots, maximumConnections, connectDelay, newServiceTime, receiveLag, replayLag);
  }

  /** Returns these settings with other sizes. */
  public EndpointSettings withSizes(int newSlots, int newMaximumConnections) {
    return new EndpointSettings(
        newSlots, newMaximumConnections, connectDelay, serviceTime, receiveLag, replayLag);
  }

  /** Returns these settings with another time to connect. */
  public EndpointSettings withConnectDelay(Duration newConnectDelay) {
    return new EndpointSettings(
        slots, maximumConnections, newConnectDelay, serviceTime, receiveLag, replayLag);
  }
}

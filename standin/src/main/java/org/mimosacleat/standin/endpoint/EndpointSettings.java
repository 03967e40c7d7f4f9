package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.wire.postgres.authentication.ScramVerifier;

/**
 * The limits, delays and authentication of one stand-in.
 *
 * @param slots the number of statements that run concurrently; further ones wait, while
 *     administrative statements need no slot
 * @param maximumConnections the number of connections that can be open at the same time
 * @param connectDelay the time to accept a new connection
 * @param serviceTime the time for which a statement occupies its slot
 * @param receiveLag the delay from a commit on the primary until a replica has received it
 * @param replayLag the delay from its receipt until reads on the replica see it
 * @param verifier the verifier of the password that every client needs; empty to accept all clients
 */
public record EndpointSettings(
    int slots,
    int maximumConnections,
    Duration connectDelay,
    DelayModel serviceTime,
    DelayModel receiveLag,
    DelayModel replayLag,
    Optional<ScramVerifier> verifier) {
  private static final int DEFAULT_SLOTS = 3;
  private static final int DEFAULT_CONNECTIONS = 50;
  private static final Duration DEFAULT_CONNECT_DELAY = Duration.ofMillis(10);

  /** Checks that the limits are positive, the connect delay is not negative and nothing is null. */
  public EndpointSettings {
    Checks.positive("slots", slots);
    Checks.positive("maximum connections", maximumConnections);
    Checks.notNegative("connect delay in nanoseconds", connectDelay.toNanos());
    Checks.notNull("service time", serviceTime);
    Checks.notNull("receive lag", receiveLag);
    Checks.notNull("replay lag", replayLag);
    Checks.notNull("verifier", verifier);
  }

  /**
   * Returns 3 slots, 50 connections, a connect delay of 10 ms, no service time, no lag and no
   * password.
   */
  public static EndpointSettings defaults() {
    return new EndpointSettings(
        DEFAULT_SLOTS,
        DEFAULT_CONNECTIONS,
        DEFAULT_CONNECT_DELAY,
        DelayModel.NONE,
        DelayModel.NONE,
        DelayModel.NONE,
        Optional.empty());
  }

  /** Returns these settings with other lags. */
  public EndpointSettings withLag(DelayModel newReceiveLag, DelayModel newReplayLag) {
    return new EndpointSettings(
        slots,
        maximumConnections,
        connectDelay,
        serviceTime,
        newReceiveLag,
        newReplayLag,
        verifier);
  }

  /** Returns these settings with another service time. */
  public EndpointSettings withServiceTime(DelayModel newServiceTime) {
    return new EndpointSettings(
        slots, maximumConnections, connectDelay, newServiceTime, receiveLag, replayLag, verifier);
  }

  /** Returns these settings with other limits for statements and connections. */
  public EndpointSettings withLimits(int newSlots, int newMaximumConnections) {
    return new EndpointSettings(
        newSlots,
        newMaximumConnections,
        connectDelay,
        serviceTime,
        receiveLag,
        replayLag,
        verifier);
  }

  /** Returns these settings with another connect delay. */
  public EndpointSettings withConnectDelay(Duration newConnectDelay) {
    return new EndpointSettings(
        slots, maximumConnections, newConnectDelay, serviceTime, receiveLag, replayLag, verifier);
  }

  /** Returns these settings with a password. */
  public EndpointSettings withVerifier(ScramVerifier newVerifier) {
    return new EndpointSettings(
        slots,
        maximumConnections,
        connectDelay,
        serviceTime,
        receiveLag,
        replayLag,
        Optional.of(newVerifier));
  }
}

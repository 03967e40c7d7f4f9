package org.mimosacleat.standin.endpoint;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.wire.postgres.authentication.ScramVerifier;

/**
 * The sizes and delays of one stand-in.
 *
 * @param slots statements that run at once; others wait, administrative ones aside
 * @param maximumConnections connections that are open at once
 * @param connectDelay how long a new connection takes
 * @param serviceTime how long a statement holds its slot
 * @param receiveLag from a commit on the primary until a replica has received it
 * @param replayLag from there until reads on the replica see it
 * @param verifier the password that every connection has to know; empty to trust all
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

  /** Checks the numbers. */
  public EndpointSettings {
    Checks.positive("slots", slots);
    Checks.positive("maximum connections", maximumConnections);
    Checks.notNegative("connect delay in nanoseconds", connectDelay.toNanos());
    Checks.notNull("service time", serviceTime);
    Checks.notNull("receive lag", receiveLag);
    Checks.notNull("replay lag", replayLag);
    Checks.notNull("verifier", verifier);
  }

  /** Three slots, 50 connections, 10 ms to connect, no service time, no lag and no password. */
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

  /** Returns these settings with other sizes. */
  public EndpointSettings withSizes(int newSlots, int newMaximumConnections) {
    return new EndpointSettings(
        newSlots,
        newMaximumConnections,
        connectDelay,
        serviceTime,
        receiveLag,
        replayLag,
        verifier);
  }

  /** Returns these settings with another time to connect. */
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

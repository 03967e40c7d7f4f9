package org.mimosacleat.proxy.home;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.proxy.endpoint.EndpointAddress;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.QueryResult;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/** Asks one endpoint for its state over a connection of its own, opened anew after a failure. */
final class EndpointPoller implements AutoCloseable {
  private static final int MAXIMUM_REPLY_BYTES = 64 * 1024;
  private static final int IN_RECOVERY = 0;
  private static final int RECEIVED = 1;
  private static final int REPLAYED = 2;
  private static final int TIMELINE = 3;
  private static final int FENCE_TERM = 4;

  private final EndpointAddress address;
  private final InstantSource clock;
  private final Duration timeout;
  private EndpointConnection connection;

  EndpointPoller(EndpointAddress address, InstantSource clock, Duration timeout) {
    this.address = address;
    this.clock = clock;
    this.timeout = timeout;
  }

  /** Asks once; on any failure the connection is closed. */
  EndpointStatus poll() throws IOException {
    try {
      if (connection == null) {
        connection = EndpointConnection.open(address, MAXIMUM_REPLY_BYTES, timeout);
      }
      return status(address.endpoint(), connection, clock, timeout);
    } catch (IOException | RuntimeException failed) {
      close();
      throw failed;
    }
  }

  /** Asks once over a connection that the caller holds. */
  static EndpointStatus status(
      EndpointId endpoint, EndpointConnection connection, InstantSource clock, Duration timeout)
      throws IOException {
    Instant askedAt = clock.instant();
    QueryResult result = connection.query(EndpointStatements.STATUS, timeout);
    Term timeline = new Term(Long.parseLong(result.first(TIMELINE)));
    String fence = result.first(FENCE_TERM);
    PollResponse answer =
        new PollResponse(
            endpoint,
            new Position(timeline, LogPosition.parse(result.first(RECEIVED))),
            new Position(timeline, LogPosition.parse(result.first(REPLAYED))),
            fence.isEmpty() ? timeline : new Term(Long.parseLong(fence)),
            askedAt);
    return new EndpointStatus(answer, result.first(IN_RECOVERY).equals("f"));
  }

  @Override
  public void close() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
  }
}

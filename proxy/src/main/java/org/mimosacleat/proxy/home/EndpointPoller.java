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

/** Queries the status of one endpoint over a dedicated connection, reopened after a failure. */
final class EndpointPoller implements AutoCloseable {
  private static final int MAX_REPLY_BYTES = 64 * 1024;
  private static final int IN_RECOVERY_COLUMN = 0;
  private static final int RECEIVED_COLUMN = 1;
  private static final int REPLAYED_COLUMN = 2;
  private static final int TIMELINE_COLUMN = 3;
  private static final int FENCE_TERM_COLUMN = 4;

  private final EndpointAddress address;
  private final InstantSource clock;
  private final Duration timeout;
  private EndpointConnection connection;

  EndpointPoller(EndpointAddress address, InstantSource clock, Duration timeout) {
    this.address = address;
    this.clock = clock;
    this.timeout = timeout;
  }

  /** Queries the status once; closes the connection on any failure. */
  EndpointStatus poll() throws IOException {
    try {
      if (connection == null) {
        connection = EndpointConnection.open(address, MAX_REPLY_BYTES, timeout);
      }
      return status(address.endpoint(), connection, clock, timeout);
    } catch (IOException | RuntimeException failed) {
      close();
      throw failed;
    }
  }

  /** Queries the status once over the given connection, which stays open. */
  static EndpointStatus status(
      EndpointId endpoint, EndpointConnection connection, InstantSource clock, Duration timeout)
      throws IOException {
    Instant askedAt = clock.instant();
    QueryResult result = connection.query(EndpointStatements.STATUS, timeout);
    Term timeline = new Term(Long.parseLong(result.firstRowValue(TIMELINE_COLUMN)));
    String fence = result.firstRowValue(FENCE_TERM_COLUMN);
    PollResponse answer =
        new PollResponse(
            endpoint,
            new Position(timeline, LogPosition.parse(result.firstRowValue(RECEIVED_COLUMN))),
            new Position(timeline, LogPosition.parse(result.firstRowValue(REPLAYED_COLUMN))),
            fence.isEmpty() ? timeline : new Term(Long.parseLong(fence)),
            askedAt);
    return new EndpointStatus(answer, result.firstRowValue(IN_RECOVERY_COLUMN).equals("f"));
  }

  @Override
  public void close() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
  }
}

package org.mimosacleat.proxy.home;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.locks.ReentrantLock;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.lease.LeaseInput;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.promotion.PromotionInput;
import org.mimosacleat.proxy.endpoint.EndpointAddress;
import org.mimosacleat.proxy.endpoint.EndpointConnection;
import org.mimosacleat.proxy.endpoint.QueryResult;
import org.mimosacleat.proxy.endpoint.StatementFailedException;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/**
 * Sends a home's administrative commands to one endpoint: fencing, promotion and the primary to
 * follow. Each call blocks until the endpoint answers. Commands that belong to a promotion use a
 * connection opened under the home's token, so that the endpoint rejects them once a later home has
 * raised the token.
 */
final class EndpointAdministrator implements AutoCloseable {
  private static final int MAX_REPLY_BYTES = 64 * 1024;
  private static final Duration PROMOTION_POLL_INTERVAL = Duration.ofMillis(5);

  private final EndpointAddress address;
  private final InstantSource clock;
  private final Duration timeout;
  private final ReentrantLock leaseLock = new ReentrantLock();
  private EndpointConnection leaseConnection;

  EndpointAdministrator(EndpointAddress address, InstantSource clock, Duration timeout) {
    this.address = address;
    this.clock = clock;
    this.timeout = timeout;
  }

  /** Asks the endpoint to accept a token, and reads the tokens that are in force on it. */
  LeaseInput.FenceAnswered acceptToken(FencingToken token) throws IOException {
    leaseLock.lock();
    try {
      if (leaseConnection == null) {
        leaseConnection = EndpointConnection.open(address, MAX_REPLY_BYTES, timeout);
      }
      Instant sentAt = clock.instant();
      submitToken(leaseConnection, token);
      QueryResult tokens = leaseConnection.query(EndpointStatements.HOME_TOKENS, timeout);
      return new LeaseInput.FenceAnswered(
          address.endpoint(), token, token(tokens, 0), token(tokens, 1), sentAt);
    } catch (IOException | RuntimeException failed) {
      closeLeaseConnection();
      throw failed;
    } finally {
      leaseLock.unlock();
    }
  }

  /** Fences the endpoint at a term, and reads the log position that it has received. */
  PromotionInput.FenceAnswered fence(Term term, FencingToken token) throws IOException {
    try (EndpointConnection connection = open(token)) {
      try {
        connection.query(EndpointStatements.setFenceTerm(term), timeout);
      } catch (StatementFailedException failed) {
        // Fenced at a later term; the status query below returns that term.
      }
      EndpointStatus status = status(connection);
      return new PromotionInput.FenceAnswered(
          address.endpoint(), term, status.answer().fencedAt(), status.answer().received());
    }
  }

  /** Promotes the endpoint and waits until it runs as a primary. */
  PromotionInput.PromoteAnswered promote(FencingToken token) throws IOException {
    try (EndpointConnection connection = open(token)) {
      if (status(connection).isPrimary()) {
        demote(connection);
      }
      connection.query(EndpointStatements.PROMOTE, timeout);
      Instant end = clock.instant().plus(timeout);
      while (clock.instant().isBefore(end)) {
        EndpointStatus status = status(connection);
        if (status.isPrimary()) {
          return new PromotionInput.PromoteAnswered(address.endpoint(), status.answer().received());
        }
        Thread.sleep(PROMOTION_POLL_INTERVAL);
      }
      throw new IOException(
          "endpoint " + address.endpoint() + " did not leave recovery before the timeout");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while the endpoint was promoted", interrupted);
    }
  }

  /**
   * Turns a replaced primary into a replica, so that it can be promoted for a new term: it may hold
   * the most advanced log. Its replication source is set to its own address, so it receives from no
   * other endpoint.
   */
  private void demote(EndpointConnection connection) throws IOException {
    setReplicationSource(connection, address);
  }

  private void setReplicationSource(EndpointConnection connection, EndpointAddress source)
      throws IOException {
    String host = source.address().getAddress().getHostAddress();
    connection.query(EndpointStatements.replicateFrom(host, source.address().getPort()), timeout);
    connection.query(EndpointStatements.RELOAD, timeout);
  }

  /** Makes the endpoint replicate from {@code primary}. */
  void follow(EndpointAddress primary, FencingToken token) throws IOException {
    try (EndpointConnection connection = open(token)) {
      setReplicationSource(connection, primary);
    }
  }

  @Override
  public void close() {
    leaseLock.lock();
    try {
      closeLeaseConnection();
    } finally {
      leaseLock.unlock();
    }
  }

  private void submitToken(EndpointConnection connection, FencingToken token) throws IOException {
    try {
      connection.query(EndpointStatements.setHomeToken(token), timeout);
    } catch (StatementFailedException failed) {
      // A higher token is in force; the query that follows returns it.
    }
  }

  private EndpointConnection open(FencingToken token) throws IOException {
    return EndpointConnection.open(address, token, MAX_REPLY_BYTES, timeout);
  }

  private EndpointStatus status(EndpointConnection connection) throws IOException {
    return EndpointPoller.status(address.endpoint(), connection, clock, timeout);
  }

  private static FencingToken token(QueryResult tokens, int column) throws IOException {
    return new FencingToken(Long.parseLong(tokens.firstRowValue(column)));
  }

  private void closeLeaseConnection() {
    if (leaseConnection != null) {
      leaseConnection.close();
      leaseConnection = null;
    }
  }

  EndpointId endpoint() {
    return address.endpoint();
  }
}

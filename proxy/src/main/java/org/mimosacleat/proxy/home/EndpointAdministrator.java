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
import org.mimosacleat.proxy.endpoint.StatementRefusedException;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

/**
 * Gives one endpoint the commands of a home: fences, promotion, whom to follow. Each call waits for
 * its answer. Calls for promotions go over a connection that was opened under the home's token, so
 * that a later home shuts them out.
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

  /** Asks the endpoint to accept a token, and reads which it has. */
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

  /** Fences the endpoint at a term, and reads up to where it holds the log. */
  PromotionInput.FenceAnswered fence(Term term, FencingToken token) throws IOException {
    try (EndpointConnection connection = open(token)) {
      try {
        connection.query(EndpointStatements.fence(term), timeout);
      } catch (StatementRefusedException refused) {
        // The status that follows tells at which term.
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
      throw new IOException("endpoint " + address.endpoint() + " does not leave recovery");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", interrupted);
    }
  }

  /**
   * Makes a replaced primary a replica, so that it can start a term of its own: it may hold the
   * most advanced log. It is told to receive from itself, that is from nobody.
   */
  private void demote(EndpointConnection connection) throws IOException {
    receiveFrom(connection, address);
  }

  private void receiveFrom(EndpointConnection connection, EndpointAddress source)
      throws IOException {
    String host = source.address().getAddress().getHostAddress();
    connection.query(EndpointStatements.receiveFrom(host, source.address().getPort()), timeout);
    connection.query(EndpointStatements.RELOAD, timeout);
  }

  /** Makes the endpoint follow another. */
  void follow(EndpointAddress primary, FencingToken token) throws IOException {
    try (EndpointConnection connection = open(token)) {
      receiveFrom(connection, primary);
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
      connection.query(EndpointStatements.homeToken(token), timeout);
    } catch (StatementRefusedException refused) {
      // The question that follows tells which token is in force.
    }
  }

  private EndpointConnection open(FencingToken token) throws IOException {
    return EndpointConnection.open(address, token, MAX_REPLY_BYTES, timeout);
  }

  private EndpointStatus status(EndpointConnection connection) throws IOException {
    return EndpointPoller.status(address.endpoint(), connection, clock, timeout);
  }

  private static FencingToken token(QueryResult tokens, int column) throws IOException {
    return new FencingToken(Long.parseLong(tokens.first(column)));
  }

  private void closeLeaseConnection() {
    if (leaseConnection != null) {
      leaseConnection.close();
      leaseConnection = null;
    }
  }

  /** Returns the endpoint. */
  EndpointId endpoint() {
    return address.endpoint();
  }
}

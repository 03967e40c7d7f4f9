package org.mimosacleat.core.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the state of one endpoint's connections: each connection has at most one user.
 *
 * <p>Call {@link #borrow} at the start of a transaction and {@link #returnConnection} when the
 * transaction has ended and the endpoint is idle again; then carry out the returned decision.
 * Whenever demand or the quota has changed, call {@link #beginOpen} until it returns empty, open a
 * connection for each returned id, and report the result. Not thread-safe: used only by the
 * executor of one group.
 */
public final class ConnectionPool {
  private enum State {
    OPENING,
    IDLE,
    BORROWED,
    RESETTING,
    CLOSING
  }

  private final ConnectionQuota quota;
  private final ConnectionDemandForecast forecast;
  private final Map<ConnectionId, State> states = new HashMap<>();
  private final Deque<ConnectionId> idle = new ArrayDeque<>();
  private int borrowed;
  private long lastConnectionNumber;

  /** Creates a pool without connections. */
  public ConnectionPool(ConnectionQuota quota, ConnectionDemandForecast forecast) {
    this.quota = quota;
    this.forecast = forecast;
  }

  /** Lends the most recently used connection, so that the others become idle and can be closed. */
  public BorrowDecision borrow() {
    ConnectionId connection = idle.pollLast();
    if (connection == null) {
      return new BorrowDecision.Wait();
    }
    states.put(connection, State.BORROWED);
    borrowed++;
    return new BorrowDecision.Borrowed(connection);
  }

  /** Takes a borrowed connection back and returns what to do with it. */
  public ReturnDecision returnConnection(ConnectionId connection, ConnectionUse use) {
    requireState(connection, State.BORROWED);
    borrowed--;
    ReturnDecision decision = ReturnDecision.of(use);
    switch (decision) {
      case ReturnDecision.Reuse reuse -> markIdle(connection);
      case ReturnDecision.Reset reset -> states.put(connection, State.RESETTING);
      case ReturnDecision.Close close -> states.put(connection, State.CLOSING);
    }
    return decision;
  }

  /** Records that the endpoint has confirmed the reset of a connection's settings. */
  public void resetConfirmed(ConnectionId connection) {
    requireState(connection, State.RESETTING);
    markIdle(connection);
  }

  /** Returns the id of a connection to open now, if demand requires and the quota allows one. */
  public Optional<ConnectionId> beginOpen(int waiting) {
    forecast.observe(borrowed, waiting);
    if (quota.open() + quota.opening() >= forecast.targetSize() || !quota.tryBeginOpen()) {
      return Optional.empty();
    }
    ConnectionId connection = new ConnectionId(++lastConnectionNumber);
    states.put(connection, State.OPENING);
    return Optional.of(connection);
  }

  /** Records that a connection has been opened. */
  public void opened(ConnectionId connection) {
    requireState(connection, State.OPENING);
    quota.opened();
    markIdle(connection);
  }

  /** Records that the endpoint refused to open a connection. */
  public void refused(ConnectionId connection) {
    requireState(connection, State.OPENING);
    states.remove(connection);
    quota.refused();
  }

  /**
   * Removes the least recently used idle connection to be closed, if more connections are open than
   * demand requires.
   */
  public Optional<ConnectionId> beginClose() {
    if (idle.isEmpty() || quota.open() <= forecast.targetSize()) {
      return Optional.empty();
    }
    return beginCloseAny();
  }

  /** Removes any idle connection to be closed, for a home that has lost its lease. */
  public Optional<ConnectionId> beginCloseAny() {
    ConnectionId connection = idle.pollFirst();
    if (connection != null) {
      states.put(connection, State.CLOSING);
    }
    return Optional.ofNullable(connection);
  }

  /** Records that the endpoint has closed its side of a connection, whichever side asked. */
  public void closed(ConnectionId connection) {
    if (removeConnection(connection)) {
      quota.closed();
    }
  }

  /** Records that a connection was dropped without confirmation from the endpoint. */
  public void abandoned(ConnectionId connection) {
    if (states.get(connection) == State.OPENING) {
      states.remove(connection);
      quota.abandonedOpening();
    } else if (removeConnection(connection)) {
      quota.abandoned();
    }
  }

  /** Returns the number of borrowed connections. */
  public int borrowed() {
    return borrowed;
  }

  /** Returns the number of idle connections. */
  public int idle() {
    return idle.size();
  }

  private boolean removeConnection(ConnectionId connection) {
    State state = states.remove(connection);
    idle.remove(connection);
    borrowed -= state == State.BORROWED ? 1 : 0;
    return state != null;
  }

  private void markIdle(ConnectionId connection) {
    states.put(connection, State.IDLE);
    idle.addLast(connection);
  }

  private void requireState(ConnectionId connection, State expected) {
    State state = states.get(connection);
    if (state != expected) {
      throw new IllegalArgumentException(
          "connection " + connection.number() + " must be " + expected + ", but is " + state);
    }
  }
}

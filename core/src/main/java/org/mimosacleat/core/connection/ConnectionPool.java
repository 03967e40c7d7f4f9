package org.mimosacleat.core.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the books of one endpoint's connections: each belongs to nobody or to exactly one user.
 *
 * <p>{@link #lend} one to each transaction from its start until the endpoint is idle again, then
 * {@link #giveBack} and carry out the decision. Call {@link #beginOpen} until it is empty whenever
 * demand or the quota has changed, open a connection for each id, and report how that ended. Not
 * safe for several threads: one group's executor owns it.
 */
public final class ConnectionPool {
  private enum State {
    OPENING,
    IDLE,
    LENT,
    RESETTING,
    CLOSING
  }

  private final ConnectionQuota quota;
  private final ConnectionDemandForecast forecast;
  private final Map<ConnectionId, State> states = new HashMap<>();
  private final Deque<ConnectionId> idle = new ArrayDeque<>();
  private int lent;
  private long lastNumber;

  /** Starts without connections. */
  public ConnectionPool(ConnectionQuota quota, ConnectionDemandForecast forecast) {
    this.quota = quota;
    this.forecast = forecast;
  }

  /** Lends the connection that was used last, so that the others can age and be closed. */
  public LendDecision lend() {
    ConnectionId connection = idle.pollLast();
    if (connection == null) {
      return new LendDecision.Wait();
    }
    states.put(connection, State.LENT);
    lent++;
    return new LendDecision.Lent(connection);
  }

  /** Takes a lent connection back and says what to do with it. */
  public ReturnDecision giveBack(ConnectionId connection, ConnectionUse use) {
    expect(connection, State.LENT);
    lent--;
    ReturnDecision decision = ReturnDecision.of(use);
    switch (decision) {
      case ReturnDecision.Reuse reuse -> makeIdle(connection);
      case ReturnDecision.Reset reset -> states.put(connection, State.RESETTING);
      case ReturnDecision.Close close -> states.put(connection, State.CLOSING);
    }
    return decision;
  }

  /** Takes in that the endpoint confirmed the reset of a connection's settings. */
  public void resetDone(ConnectionId connection) {
    expect(connection, State.RESETTING);
    makeIdle(connection);
  }

  /** Returns the id of a connection to open now, if demand calls for one and the quota allows. */
  public Optional<ConnectionId> beginOpen(int waiting) {
    forecast.observe(lent, waiting);
    if (quota.open() + quota.opening() >= forecast.wanted() || !quota.tryBeginOpen()) {
      return Optional.empty();
    }
    ConnectionId connection = new ConnectionId(++lastNumber);
    states.put(connection, State.OPENING);
    return Optional.of(connection);
  }

  /** Takes in that a connection is open. */
  public void opened(ConnectionId connection) {
    expect(connection, State.OPENING);
    quota.opened();
    makeIdle(connection);
  }

  /** Takes in that the endpoint refused a connection. */
  public void refused(ConnectionId connection) {
    expect(connection, State.OPENING);
    states.remove(connection);
    quota.refused();
  }

  /**
   * Takes an idle connection out to be closed, the one unused for longest, if there are more than
   * demand calls for.
   */
  public Optional<ConnectionId> beginClose() {
    if (idle.isEmpty() || quota.open() <= forecast.wanted()) {
      return Optional.empty();
    }
    return beginCloseAny();
  }

  /** Takes any idle connection out to be closed, for a home that has lost its lease. */
  public Optional<ConnectionId> beginCloseAny() {
    ConnectionId connection = idle.pollFirst();
    if (connection != null) {
      states.put(connection, State.CLOSING);
    }
    return Optional.ofNullable(connection);
  }

  /** Takes in that the endpoint has closed its side of a connection, whoever asked for it. */
  public void closed(ConnectionId connection) {
    if (forget(connection)) {
      quota.closed();
    }
  }

  /** Takes in that a connection was dropped without the endpoint's confirmation. */
  public void abandoned(ConnectionId connection) {
    if (states.get(connection) == State.OPENING) {
      states.remove(connection);
      quota.abandonedOpening();
    } else if (forget(connection)) {
      quota.abandoned();
    }
  }

  /** Returns how many connections are lent. */
  public int lent() {
    return lent;
  }

  /** Returns how many connections are idle. */
  public int idle() {
    return idle.size();
  }

  private boolean forget(ConnectionId connection) {
    State state = states.remove(connection);
    idle.remove(connection);
    lent -= state == State.LENT ? 1 : 0;
    return state != null;
  }

  private void makeIdle(ConnectionId connection) {
    states.put(connection, State.IDLE);
    idle.addLast(connection);
  }

  private void expect(ConnectionId connection, State expected) {
    State state = states.get(connection);
    if (state != expected) {
      throw new IllegalArgumentException(
          "connection " + connection.number() + " must be " + expected + ", but is " + state);
    }
  }
}

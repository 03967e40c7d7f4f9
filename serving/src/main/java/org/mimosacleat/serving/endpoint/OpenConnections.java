package org.mimosacleat.serving.endpoint;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.mimosacleat.core.id.TeamId;

/**
 * The connections of one pool: idle, in use and being opened. Together they never exceed the
 * maximum, except that connections in use stay open when the maximum is lowered. A connection is
 * counted until it has been closed.
 *
 * <p>The idle connections of all teams are in one queue, so that memory depends on the number of
 * connections, not on the number of teams.
 */
final class OpenConnections {
  private final ReentrantLock lock = new ReentrantLock();

  /** The most recently used one is first. */
  private final Deque<PooledConnection> idle = new ArrayDeque<>();

  private final Set<PooledConnection> inUse = new HashSet<>();
  private int opening;
  private int max;

  OpenConnections(int max) {
    this.max = max;
  }

  /**
   * Takes an idle connection of a team, or the right to open one; an idle connection of another
   * team is evicted if there is no room. After a right to open follows {@link #opened} or {@link
   * #openingFailed}.
   *
   * @param values the session's values, by which the best idle connection is chosen
   * @param mayOpen whether a connection may be opened
   */
  ConnectionSlot take(Optional<TeamId> team, Map<String, String> values, boolean mayOpen) {
    lock.lock();
    try {
      removeClosed();
      PooledConnection pooled = bestIdle(team, values);
      if (pooled != null) {
        idle.remove(pooled);
        inUse.add(pooled);
        return new ConnectionSlot.Idle(pooled);
      }
      return mayOpen ? newSlot() : new ConnectionSlot.None();
    } finally {
      lock.unlock();
    }
  }

  /** Takes an idle connection of any team that was opened before a moment. */
  Optional<PooledConnection> takeOpenedBefore(Instant moment) {
    lock.lock();
    try {
      removeClosed();
      Optional<PooledConnection> found =
          idle.stream().filter(pooled -> pooled.openedAt().isBefore(moment)).findFirst();
      found.ifPresent(idle::remove);
      found.ifPresent(inUse::add);
      return found;
    } finally {
      lock.unlock();
    }
  }

  /** All idle connections belong to other teams here. */
  private ConnectionSlot newSlot() {
    Optional<PooledConnection> evicted = Optional.empty();
    if (held() >= max) {
      evicted = Optional.ofNullable(idle.pollLast());
      if (evicted.isEmpty()) {
        return new ConnectionSlot.None();
      }
    }
    opening++;
    return new ConnectionSlot.Open(evicted);
  }

  /** Removes the least recently used idle connection that is not of this team. */
  Optional<PooledConnection> evictOther(Optional<TeamId> team) {
    lock.lock();
    try {
      Iterator<PooledConnection> oldestFirst = idle.descendingIterator();
      while (oldestFirst.hasNext()) {
        PooledConnection candidate = oldestFirst.next();
        if (!candidate.team().equals(team)) {
          oldestFirst.remove();
          return Optional.of(candidate);
        }
      }
      return Optional.empty();
    } finally {
      lock.unlock();
    }
  }

  /** Records a connection that was opened; it is in use. */
  void opened(PooledConnection pooled) {
    lock.lock();
    try {
      opening--;
      inUse.add(pooled);
    } finally {
      lock.unlock();
    }
  }

  void openingFailed() {
    lock.lock();
    try {
      opening--;
    } finally {
      lock.unlock();
    }
  }

  /** Makes a connection idle, and closes idle ones above the maximum. */
  void makeIdle(PooledConnection pooled) {
    lock.lock();
    try {
      inUse.remove(pooled);
      idle.addFirst(pooled);
      closeExcess();
    } finally {
      lock.unlock();
    }
  }

  /** Closes a connection that is in use. */
  void close(PooledConnection pooled) {
    pooled.connection().close();
    lock.lock();
    try {
      inUse.remove(pooled);
    } finally {
      lock.unlock();
    }
  }

  /** Closes all idle connections. */
  void closeIdle() {
    lock.lock();
    try {
      idle.forEach(pooled -> pooled.connection().close());
      idle.clear();
    } finally {
      lock.unlock();
    }
  }

  /** Closes all connections; those in use stay counted until they are returned. */
  void closeAll() {
    closeIdle();
    usedNow().forEach(pooled -> pooled.connection().close());
  }

  private List<PooledConnection> usedNow() {
    lock.lock();
    try {
      return List.copyOf(inUse);
    } finally {
      lock.unlock();
    }
  }

  /** Changes the maximum, and closes idle connections above it. */
  void resize(int newMax) {
    lock.lock();
    try {
      max = newMax;
      closeExcess();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Lowers the maximum to the connections that are held beside the one that the caller failed to
   * open.
   *
   * @return how many of them are established
   */
  int capAtHeld() {
    lock.lock();
    try {
      max = Math.min(max, held() - 1);
      return idle.size() + inUse.size();
    } finally {
      lock.unlock();
    }
  }

  /** Returns how many connections are idle or in use. */
  int established() {
    lock.lock();
    try {
      return idle.size() + inUse.size();
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether an open connection of this team is idle. */
  boolean hasIdle(Optional<TeamId> team) {
    lock.lock();
    try {
      return bestIdle(team, Map.of()) != null;
    } finally {
      lock.unlock();
    }
  }

  private int held() {
    return idle.size() + inUse.size() + opening;
  }

  private void closeExcess() {
    while (held() > max && !idle.isEmpty()) {
      idle.removeLast().connection().close();
    }
  }

  /** Finds the idle connection of a team that needs the fewest commands to match the values. */
  private PooledConnection bestIdle(Optional<TeamId> team, Map<String, String> values) {
    PooledConnection adoptable = null;
    PooledConnection other = null;
    for (PooledConnection candidate : idle) {
      if (!candidate.team().equals(team) || !candidate.connection().isOpen()) {
        continue;
      }
      if (candidate.hasValues(values)) {
        return candidate;
      }
      if (adoptable == null && candidate.canAdopt(values)) {
        adoptable = candidate;
      }
      other = other == null ? candidate : other;
    }
    return adoptable == null ? other : adoptable;
  }

  private void removeClosed() {
    idle.removeIf(pooled -> !pooled.connection().isOpen());
  }
}

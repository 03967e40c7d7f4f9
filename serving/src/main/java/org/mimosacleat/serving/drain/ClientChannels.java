package org.mimosacleat.serving.drain;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.mimosacleat.serving.statement.StatementId;

/** The set of open client connections. */
public final class ClientChannels {
  private final Set<ClientChannel> open = ConcurrentHashMap.newKeySet();

  /** Adds an opened connection. */
  public void add(ClientChannel channel) {
    open.add(channel);
  }

  /** Removes a closed connection. */
  public void remove(ClientChannel channel) {
    open.remove(channel);
  }

  /** Returns the number of open connections. */
  public int count() {
    return open.size();
  }

  /** Returns the statements that have been read and not answered. */
  public List<StatementId> openStatements() {
    return open.stream().flatMap(channel -> channel.openStatement().stream()).toList();
  }

  /**
   * Closes connections that have waited for a request for some time, outside transactions.
   *
   * @param limit how many to close at most
   */
  public void closeIdle(Duration minimumIdleTime, int limit) {
    int closed = 0;
    for (ClientChannel channel : open) {
      if (closed == limit) {
        return;
      }
      closed += channel.closeIfIdle(minimumIdleTime) ? 1 : 0;
    }
  }

  /** Ends all connections, each in a task of its own, because a client may not read its answer. */
  public void endAll(Executor executor) {
    open.forEach(channel -> executor.execute(() -> end(channel)));
  }

  private void end(ClientChannel channel) {
    if (channel.end()) {
      remove(channel);
    }
  }
}

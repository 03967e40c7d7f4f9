package org.mimosacleat.serving.drain;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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

  /** Closes the connections without an open request or transaction. */
  public void closeIdle() {
    open.forEach(ClientChannel::closeIfIdle);
  }
}

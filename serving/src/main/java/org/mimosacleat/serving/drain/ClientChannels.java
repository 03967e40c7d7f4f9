package org.mimosacleat.serving.drain;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The open connections of clients. */
public final class ClientChannels {
  private final Set<ClientChannel> open = ConcurrentHashMap.newKeySet();

  /** Adds a connection that has begun. */
  public void add(ClientChannel channel) {
    open.add(channel);
  }

  /** Removes a connection that has ended. */
  public void remove(ClientChannel channel) {
    open.remove(channel);
  }

  /** Returns how many are open. */
  public int count() {
    return open.size();
  }

  /** Closes those that are between two requests and hold no transaction. */
  public void closeIdle() {
    open.forEach(ClientChannel::closeIfIdle);
  }
}

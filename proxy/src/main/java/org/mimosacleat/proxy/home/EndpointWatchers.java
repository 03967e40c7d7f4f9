package org.mimosacleat.proxy.home;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.id.EndpointId;

/** The watchers of all endpoints of a group. */
final class EndpointWatchers implements AutoCloseable {
  private final Map<EndpointId, EndpointWatcher> byEndpoint;

  EndpointWatchers(Map<EndpointId, EndpointWatcher> byEndpoint) {
    this.byEndpoint = Map.copyOf(byEndpoint);
  }

  /** Starts them, each on a thread of {@code executor}. */
  void start(ExecutorService executor) {
    byEndpoint.values().forEach(executor::submit);
  }

  /** Starts to poll. */
  void resume() {
    byEndpoint.values().forEach(EndpointWatcher::resume);
  }

  /** Stops to poll. */
  void suspend() {
    byEndpoint.values().forEach(EndpointWatcher::suspend);
  }

  /** Has one endpoint polled now. */
  void poke(EndpointId endpoint) {
    byEndpoint.get(endpoint).poke();
  }

  /** Has all endpoints polled now. */
  void pokeAll() {
    byEndpoint.values().forEach(EndpointWatcher::poke);
  }

  @Override
  public void close() {
    byEndpoint.values().forEach(EndpointWatcher::close);
  }
}

package org.mimosacleat.proxy.home;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.id.EndpointId;

/** The watchers of all endpoints of a group. */
final class EndpointMonitors implements AutoCloseable {
  private final Map<EndpointId, EndpointMonitor> byEndpoint;

  EndpointMonitors(Map<EndpointId, EndpointMonitor> byEndpoint) {
    this.byEndpoint = Map.copyOf(byEndpoint);
  }

  /** Starts them, each on a thread of {@code executor}. */
  void start(ExecutorService executor) {
    byEndpoint.values().forEach(executor::submit);
  }

  /** Starts to poll. */
  void resume() {
    byEndpoint.values().forEach(EndpointMonitor::resume);
  }

  /** Stops to poll. */
  void suspend() {
    byEndpoint.values().forEach(EndpointMonitor::suspend);
  }

  /** Has one endpoint polled now. */
  void pollNow(EndpointId endpoint) {
    byEndpoint.get(endpoint).pollNow();
  }

  /** Has all endpoints polled now. */
  void pollAllNow() {
    byEndpoint.values().forEach(EndpointMonitor::pollNow);
  }

  @Override
  public void close() {
    byEndpoint.values().forEach(EndpointMonitor::close);
  }
}

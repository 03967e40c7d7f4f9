package org.mimosacleat.proxy.home;

import java.util.Map;
import java.util.concurrent.ExecutorService;
import org.mimosacleat.core.id.EndpointId;

/** The monitors of all endpoints of a group. */
final class EndpointMonitors implements AutoCloseable {
  private final Map<EndpointId, EndpointMonitor> byEndpoint;

  EndpointMonitors(Map<EndpointId, EndpointMonitor> byEndpoint) {
    this.byEndpoint = Map.copyOf(byEndpoint);
  }

  /** Starts the monitors, each on its own thread of {@code executor}. */
  void start(ExecutorService executor) {
    byEndpoint.values().forEach(executor::submit);
  }

  /** Starts polling all endpoints. */
  void resume() {
    byEndpoint.values().forEach(EndpointMonitor::resume);
  }

  /** Stops polling all endpoints. */
  void suspend() {
    byEndpoint.values().forEach(EndpointMonitor::suspend);
  }

  /** Requests an immediate poll of one endpoint. */
  void pollNow(EndpointId endpoint) {
    byEndpoint.get(endpoint).pollNow();
  }

  /** Requests an immediate poll of all endpoints. */
  void pollAllNow() {
    byEndpoint.values().forEach(EndpointMonitor::pollNow);
  }

  @Override
  public void close() {
    byEndpoint.values().forEach(EndpointMonitor::close);
  }
}

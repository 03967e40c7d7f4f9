package org.mimosacleat.standin.endpoint;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the instances of a group by their port, so that they can replicate without sockets. */
public final class ReplicationDirectory {
  private static final Pattern PORT = Pattern.compile("\\bport=(\\d{1,5})\\b");

  private final Map<Integer, EndpointStandin> byPort = new ConcurrentHashMap<>();

  /** Creates an empty directory. */
  public ReplicationDirectory() {}

  void add(int port, EndpointStandin endpoint) {
    byPort.put(port, endpoint);
  }

  /** Returns the instance that the connection setting names, if replication from it is possible. */
  Optional<InstanceState> find(String connectionInfo) {
    Matcher matcher = PORT.matcher(connectionInfo);
    if (!matcher.find()) {
      return Optional.empty();
    }
    int port = Integer.parseInt(matcher.group(1));
    return Optional.ofNullable(byPort.get(port))
        .filter(EndpointStandin::canReplicate)
        .map(EndpointStandin::state);
  }

  void wakeReplicators() {
    byPort.values().forEach(EndpointStandin::wakeReplicator);
  }
}

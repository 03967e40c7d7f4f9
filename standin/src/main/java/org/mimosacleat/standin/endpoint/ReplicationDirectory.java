package org.mimosacleat.standin.endpoint;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the instances of a group by their port, so that they replicate without sockets. */
public final class ReplicationDirectory {
  private static final Pattern PORT = Pattern.compile("\\bport=(\\d{1,5})\\b");

  private final Map<Integer, EndpointStandin> byPort = new ConcurrentHashMap<>();

  /** Starts empty. */
  public ReplicationDirectory() {}

  void add(int port, EndpointStandin endpoint) {
    byPort.put(port, endpoint);
  }

  /** Returns the instance that the connection setting names, if it can be reached now. */
  Optional<InstanceState> find(String connection) {
    Matcher matcher = PORT.matcher(connection);
    if (!matcher.find()) {
      return Optional.empty();
    }
    int port = Integer.parseInt(matcher.group(1));
    return Optional.ofNullable(byPort.get(port))
        .filter(EndpointStandin::replicates)
        .map(EndpointStandin::state);
  }

  void wakeFollowers() {
    byPort.values().forEach(EndpointStandin::wakeFollower);
  }
}

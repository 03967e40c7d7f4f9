package org.mimosacleat.serving.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionShareTest {
  private static final int LIMIT = 60;
  private static final int PROXIES = 14;

  private final ConnectionShare share = new ConnectionShare(PROXIES);

  @Test
  void connectionsOfEarlierAndPresentRunStayWithinLimit() {
    int atStart = share.connectionsPerEndpoint(LIMIT);
    share.earlierConnectionsClosed();
    int later = share.connectionsPerEndpoint(LIMIT);

    assertTrue(PROXIES * (atStart + later) <= LIMIT);
    assertEquals(2, later);
  }

  @Test
  void proxyMayAlwaysHoldOneConnection() {
    share.setProxyCount(LIMIT * 2);

    assertEquals(ConnectionShare.MIN_CONNECTIONS, share.connectionsPerEndpoint(LIMIT));
  }
}

package org.mimosacleat.serving.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionShareTest {
  private static final int LIMIT = 60;
  private static final int PROXIES = 14;

  private final ConnectionShare share = new ConnectionShare(PROXIES);

  @Test
  void connectionsOfEarlierRunFitBesideThoseOfNewOne() {
    int atStart = share.linksPerEndpoint(LIMIT);
    share.settle();
    int later = share.linksPerEndpoint(LIMIT);

    assertTrue(PROXIES * (atStart + later) <= LIMIT);
    assertEquals(2, later);
  }

  @Test
  void proxyMayAlwaysHoldOneConnection() {
    share.setProxies(LIMIT * 2);

    assertEquals(ConnectionShare.LEAST_LINKS, share.linksPerEndpoint(LIMIT));
  }
}

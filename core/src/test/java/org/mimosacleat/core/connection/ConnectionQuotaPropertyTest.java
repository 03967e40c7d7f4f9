package org.mimosacleat.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.mimosacleat.core.time.PausedClock;

/**
 * Moves the lease of one endpoint between homes that die, pause, lose answers and leave connections
 * open, and counts the connections that the endpoint has open.
 */
class ConnectionQuotaPropertyTest {
  private static final int LIMIT = 12;
  private static final int MARGIN = 2;
  private static final Duration OPEN_TIMEOUT = Duration.ofMillis(200);
  private static final Duration LEASE = Duration.ofMillis(1000);

  /** The protocol, and faulty variants of it that the check must detect. */
  private enum Variant {
    CORRECT,
    CONNECTIONS_OF_PREVIOUS_HOME_ARE_IGNORED,
    DROPPED_CONNECTION_COUNTS_AS_CLOSED,
    CONNECTIONS_ARE_OPENED_UNTIL_THE_LEASE_ENDS
  }

  @Property(seed = "5002", tries = 200)
  void endpointNeverExceedsItsConnectionLimit(@ForAll long seed) {
    assertEquals("", new Run(seed, Variant.CORRECT).firstViolation());
  }

  @Example
  void checkDetectsEachFaultyVariant() {
    for (Variant variant : Variant.values()) {
      if (variant != Variant.CORRECT) {
        assertNotEquals("", anyViolation(variant), variant.name());
      }
    }
  }

  @Example
  void noConnectionIsOpenedBeforeTheEndpointWasQueriedUnderThisLease() {
    PausedClock clock = new PausedClock();
    ConnectionQuota quota = new ConnectionQuota(LIMIT, MARGIN, OPEN_TIMEOUT, clock);
    final Instant before = clock.instant();
    clock.advance(Duration.ofMillis(1));
    quota.updateLease(clock.instant().plus(LEASE));
    quota.updateOtherConnections(before, 0);

    assertEquals(0, quota.available());
    quota.updateOtherConnections(clock.instant(), 0);
    assertTrue(quota.available() > 0);
  }

  private static String anyViolation(Variant variant) {
    for (long seed = 1; seed <= 100; seed++) {
      String violation = new Run(seed, variant).firstViolation();
      if (!violation.isEmpty()) {
        return violation;
      }
    }
    return "";
  }

  /** One connection as the endpoint sees it. */
  private static final class EndpointConnection {
    final Home owner;

    EndpointConnection(Home owner) {
      this.owner = owner;
    }
  }

  private static final class Home {
    final ConnectionQuota quota;
    final List<EndpointConnection> open = new ArrayList<>();
    final List<Instant> opening = new ArrayList<>();

    Home(PausedClock clock, Duration openTimeout) {
      this.quota = new ConnectionQuota(LIMIT, MARGIN, openTimeout, clock);
    }
  }

  private static final class Run {
    private final SplittableRandom random;
    private final Variant variant;
    private final PausedClock clock = new PausedClock();
    private final List<EndpointConnection> connections = new ArrayList<>();
    private final List<EndpointConnection> delayedOpens = new ArrayList<>();
    private final List<EndpointConnection> closingSoon = new ArrayList<>();
    private Home currentHome;
    private Home previousHome;
    private Instant leaseEnd;

    Run(long seed, Variant variant) {
      this.random = new SplittableRandom(seed);
      this.variant = variant;
      takeOver();
    }

    String firstViolation() {
      for (int step = 0; step < 1500; step++) {
        clock.advance(Duration.ofMillis(random.nextInt(20)));
        step();
        if (connections.size() > LIMIT) {
          return "the endpoint has " + connections.size() + " connections at step " + step;
        }
      }
      return "";
    }

    private void step() {
      abandonTimedOutOpens(currentHome);
      completeDelayedOpens(random.nextInt(30) == 0 ? 1 : 0);
      boolean previousHomeActs = previousHome != null && random.nextInt(3) == 0;
      if (previousHomeActs) {
        abandonTimedOutOpens(previousHome);
      }
      Home activeHome = previousHomeActs ? previousHome : currentHome;
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> beginOpen(activeHome);
        case 4, 5, 6 -> endOpen(activeHome);
        case 7 -> dropConnection();
        case 8 -> queryOthers();
        case 9 -> renew();
        case 10 -> closingSoon.stream().findFirst().ifPresent(this::closeAtEndpoint);
        default -> changeHomeSometimes();
      }
    }

    private void changeHomeSometimes() {
      if (random.nextInt(10) > 0) {
        return;
      }
      Duration left = Duration.between(clock.instant(), leaseEnd);
      clock.advance(left.isNegative() ? Duration.ZERO : left.plusMillis(1));
      takeOver();
    }

    /** The previous holder's process is dead or paused; its connections stay at the endpoint. */
    private void takeOver() {
      if (currentHome != null) {
        closingSoon.addAll(connections);
        previousHome = currentHome;
        pauseSometimes();
      }
      boolean opensUntilLeaseEnd = variant == Variant.CONNECTIONS_ARE_OPENED_UNTIL_THE_LEASE_ENDS;
      currentHome = new Home(clock, opensUntilLeaseEnd ? LEASE.negated() : OPEN_TIMEOUT);
      leaseEnd = clock.instant().plus(LEASE);
      currentHome.quota.updateLease(leaseEnd);
      if (variant == Variant.CONNECTIONS_OF_PREVIOUS_HOME_ARE_IGNORED) {
        currentHome.quota.updateOtherConnections(clock.instant(), 0);
      }
    }

    /** A process paused inside the call that opens connections completes it when it resumes. */
    private void pauseSometimes() {
      if (random.nextBoolean()) {
        completeDelayedOpens(delayedOpens.size());
        previousHome.opening.forEach(at -> delayedOpens.add(new EndpointConnection(previousHome)));
        previousHome = null;
      }
    }

    private void completeDelayedOpens(int count) {
      for (int index = 0; index < count && !delayedOpens.isEmpty(); index++) {
        connections.add(delayedOpens.removeFirst());
      }
    }

    private void renew() {
      if (clock.instant().isBefore(leaseEnd)) {
        leaseEnd = clock.instant().plus(LEASE);
        currentHome.quota.updateLease(leaseEnd);
      }
    }

    private void beginOpen(Home home) {
      if (home.quota.tryBeginOpen()) {
        home.opening.add(clock.instant());
      }
    }

    private void endOpen(Home home) {
      if (home.opening.isEmpty()) {
        return;
      }
      home.opening.removeFirst();
      EndpointConnection connection = new EndpointConnection(home);
      connections.add(connection);
      if (random.nextInt(4) == 0) {
        abandonOpening(home);
        closingSoon.add(connection);
        return;
      }
      home.quota.opened();
      home.open.add(connection);
    }

    private void abandonTimedOutOpens(Home home) {
      while (!home.opening.isEmpty()
          && home.opening.getFirst().plus(OPEN_TIMEOUT).isBefore(clock.instant())) {
        home.opening.removeFirst();
        abandonOpening(home);
      }
    }

    private void abandonOpening(Home home) {
      if (variant == Variant.DROPPED_CONNECTION_COUNTS_AS_CLOSED) {
        home.quota.refused();
      } else {
        home.quota.abandonedOpening();
      }
    }

    private void dropConnection() {
      if (currentHome.open.isEmpty()) {
        return;
      }
      EndpointConnection connection = currentHome.open.removeFirst();
      if (random.nextBoolean()) {
        connections.remove(connection);
        currentHome.quota.closed();
      } else if (variant == Variant.DROPPED_CONNECTION_COUNTS_AS_CLOSED) {
        closingSoon.add(connection);
        currentHome.quota.closed();
      } else {
        closingSoon.add(connection);
        currentHome.quota.abandoned();
      }
    }

    private void queryOthers() {
      Instant askedAt = clock.instant();
      int others =
          (int) connections.stream().filter(each -> !currentHome.open.contains(each)).count();
      currentHome.quota.updateOtherConnections(askedAt, others);
    }

    private void closeAtEndpoint(EndpointConnection connection) {
      closingSoon.remove(connection);
      connections.remove(connection);
    }
  }
}

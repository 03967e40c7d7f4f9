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
 * Passes the lease of one endpoint between three homes that die, pause, lose answers and leave
 * connections behind, and counts what the endpoint has open.
 */
class ConnectionQuotaPropertyTest {
  private static final int LIMIT = 12;
  private static final int MARGIN = 2;
  private static final Duration OPEN_TIMEOUT = Duration.ofMillis(200);
  private static final Duration LEASE = Duration.ofMillis(1000);

  /** Which part of the rule is left out, for the check of the check. */
  private enum Variant {
    CORRECT,
    EARLIER_HOME_IS_TAKEN_TO_BE_GONE,
    DROPPED_CONNECTION_IS_TAKEN_TO_BE_CLOSED,
    OPENS_UNTIL_THE_LEASE_ENDS
  }

  @Property(seed = "5002", tries = 200)
  void endpointNeverHasMoreThanItsLimit(@ForAll long seed) {
    assertEquals("", new Run(seed, Variant.CORRECT).firstFault());
  }

  @Example
  void theCheckFindsEachWrongVariant() {
    for (Variant variant : Variant.values()) {
      if (variant != Variant.CORRECT) {
        assertNotEquals("", anyFault(variant), variant.name());
      }
    }
  }

  @Example
  void nothingIsOpenedBeforeTheEndpointWasAskedUnderThisLease() {
    PausedClock clock = new PausedClock();
    ConnectionQuota quota = new ConnectionQuota(LIMIT, MARGIN, OPEN_TIMEOUT, clock);
    final Instant before = clock.instant();
    clock.advance(Duration.ofMillis(1));
    quota.leaseHeld(clock.instant().plus(LEASE));
    quota.othersSeen(before, 0);

    assertEquals(0, quota.available());
    quota.othersSeen(clock.instant(), 0);
    assertTrue(quota.available() > 0);
  }

  private static String anyFault(Variant variant) {
    for (long seed = 1; seed <= 100; seed++) {
      String fault = new Run(seed, variant).firstFault();
      if (!fault.isEmpty()) {
        return fault;
      }
    }
    return "";
  }

  /** One connection as the endpoint sees it. */
  private static final class Backend {
    final Home owner;

    Backend(Home owner) {
      this.owner = owner;
    }
  }

  private static final class Home {
    final ConnectionQuota quota;
    final List<Backend> known = new ArrayList<>();
    final List<Instant> opening = new ArrayList<>();

    Home(PausedClock clock, Duration openTimeout) {
      this.quota = new ConnectionQuota(LIMIT, MARGIN, openTimeout, clock);
    }
  }

  private static final class Run {
    private final SplittableRandom random;
    private final Variant variant;
    private final PausedClock clock = new PausedClock();
    private final List<Backend> backends = new ArrayList<>();
    private final List<Backend> late = new ArrayList<>();
    private final List<Backend> dying = new ArrayList<>();
    private Home holder;
    private Home replaced;
    private Instant leaseEnd;

    Run(long seed, Variant variant) {
      this.random = new SplittableRandom(seed);
      this.variant = variant;
      takeOver();
    }

    String firstFault() {
      for (int step = 0; step < 1500; step++) {
        clock.advance(Duration.ofMillis(random.nextInt(20)));
        step();
        if (backends.size() > LIMIT) {
          return "the endpoint has " + backends.size() + " connections at step " + step;
        }
      }
      return "";
    }

    private void step() {
      expire(holder);
      carryOutLate(random.nextInt(30) == 0 ? 1 : 0);
      boolean replacedActs = replaced != null && random.nextInt(3) == 0;
      if (replacedActs) {
        expire(replaced);
      }
      Home acting = replacedActs ? replaced : holder;
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> begin(acting);
        case 4, 5, 6 -> endOpening(acting);
        case 7 -> drop();
        case 8 -> ask();
        case 9 -> renew();
        case 10 -> dying.stream().findFirst().ifPresent(this::die);
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

    /** The earlier holder's process is dead or paused; its connections stay at the endpoint. */
    private void takeOver() {
      if (holder != null) {
        dying.addAll(backends);
        replaced = holder;
        pauseSometimes();
      }
      boolean eager = variant == Variant.OPENS_UNTIL_THE_LEASE_ENDS;
      holder = new Home(clock, eager ? LEASE.negated() : OPEN_TIMEOUT);
      leaseEnd = clock.instant().plus(LEASE);
      holder.quota.leaseHeld(leaseEnd);
      if (variant == Variant.EARLIER_HOME_IS_TAKEN_TO_BE_GONE) {
        holder.quota.othersSeen(clock.instant(), 0);
      }
    }

    /** A process paused inside the call that opens carries its openings out when it resumes. */
    private void pauseSometimes() {
      if (random.nextBoolean()) {
        carryOutLate(late.size());
        replaced.opening.forEach(at -> late.add(new Backend(replaced)));
        replaced = null;
      }
    }

    private void carryOutLate(int count) {
      for (int index = 0; index < count && !late.isEmpty(); index++) {
        backends.add(late.removeFirst());
      }
    }

    private void renew() {
      if (clock.instant().isBefore(leaseEnd)) {
        leaseEnd = clock.instant().plus(LEASE);
        holder.quota.leaseHeld(leaseEnd);
      }
    }

    private void begin(Home home) {
      if (home.quota.tryBeginOpen()) {
        home.opening.add(clock.instant());
      }
    }

    private void endOpening(Home home) {
      if (home.opening.isEmpty()) {
        return;
      }
      home.opening.removeFirst();
      Backend backend = new Backend(home);
      backends.add(backend);
      if (random.nextInt(4) == 0) {
        abandonOpening(home);
        dying.add(backend);
        return;
      }
      home.quota.opened();
      home.known.add(backend);
    }

    private void expire(Home home) {
      while (!home.opening.isEmpty()
          && home.opening.getFirst().plus(OPEN_TIMEOUT).isBefore(clock.instant())) {
        home.opening.removeFirst();
        abandonOpening(home);
      }
    }

    private void abandonOpening(Home home) {
      if (variant == Variant.DROPPED_CONNECTION_IS_TAKEN_TO_BE_CLOSED) {
        home.quota.refused();
      } else {
        home.quota.abandonedOpening();
      }
    }

    private void drop() {
      if (holder.known.isEmpty()) {
        return;
      }
      Backend backend = holder.known.removeFirst();
      if (random.nextBoolean()) {
        backends.remove(backend);
        holder.quota.closed();
      } else if (variant == Variant.DROPPED_CONNECTION_IS_TAKEN_TO_BE_CLOSED) {
        dying.add(backend);
        holder.quota.closed();
      } else {
        dying.add(backend);
        holder.quota.abandoned();
      }
    }

    private void ask() {
      Instant asked = clock.instant();
      int others = (int) backends.stream().filter(each -> !holder.known.contains(each)).count();
      holder.quota.othersSeen(asked, others);
    }

    private void die(Backend backend) {
      dying.remove(backend);
      backends.remove(backend);
    }
  }
}

package org.mimosacleat.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mimosacleat.core.time.PausedClock;

class ReturnDecisionTest {
  private final PausedClock clock = new PausedClock();
  private final ConnectionQuota quota = new ConnectionQuota(10, 2, Duration.ofSeconds(1), clock);
  private final ConnectionPool pool =
      new ConnectionPool(quota, new ConnectionDemandForecast(1, Duration.ofMillis(10), clock));

  @ParameterizedTest
  @CsvSource({
    "IDLE, 1, false, false",
    "IDLE, 0, true, false",
    "IDLE, 0, false, true",
    "IN_TRANSACTION, 0, false, false",
    "FAILED, 0, false, false",
  })
  void dirtyConnectionIsClosed(
      TransactionStatus status, int outstanding, boolean timedOut, boolean broken) {
    ConnectionUse use = new ConnectionUse(status, outstanding, timedOut, broken, false);

    assertInstanceOf(ReturnDecision.Close.class, ReturnDecision.of(use));
  }

  @Test
  void changedSettingsAreResetBeforeTheNextUse() {
    ConnectionId connection = openConnection();
    pool.lend();
    ReturnDecision decision =
        pool.giveBack(connection, new ConnectionUse(TransactionStatus.IDLE, 0, false, false, true));

    assertEquals(new ReturnDecision.Reset(), decision);
    assertEquals(new LendDecision.Wait(), pool.lend());
    pool.resetDone(connection);
    assertEquals(new LendDecision.Lent(connection), pool.lend());
  }

  @Test
  void borrowedConnectionHasOneUserAndIsReturnedOnce() {
    ConnectionId connection = openConnection();
    pool.lend();
    assertEquals(new LendDecision.Wait(), pool.lend());
    ConnectionUse clean = new ConnectionUse(TransactionStatus.IDLE, 0, false, false, false);
    pool.giveBack(connection, clean);

    assertThrows(IllegalArgumentException.class, () -> pool.giveBack(connection, clean));
  }

  @Test
  void dirtyConnectionIsNeverBorrowedAgain() {
    ConnectionId connection = openConnection();
    pool.lend();
    pool.giveBack(connection, new ConnectionUse(TransactionStatus.IDLE, 1, false, false, false));

    assertEquals(new LendDecision.Wait(), pool.lend());
    assertThrows(IllegalArgumentException.class, () -> pool.resetDone(connection));
  }

  private ConnectionId openConnection() {
    quota.leaseHeld(clock.instant().plusSeconds(60));
    quota.othersSeen(clock.instant(), 0);
    ConnectionId connection = pool.beginOpen(1).orElseThrow();
    pool.opened(connection);
    return connection;
  }
}

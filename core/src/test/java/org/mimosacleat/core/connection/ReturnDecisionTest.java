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
    pool.borrow();
    ReturnDecision decision =
        pool.returnConnection(
            connection, new ConnectionUse(TransactionStatus.IDLE, 0, false, false, true));

    assertEquals(new ReturnDecision.Reset(), decision);
    assertEquals(new BorrowDecision.Wait(), pool.borrow());
    pool.resetConfirmed(connection);
    assertEquals(new BorrowDecision.Borrowed(connection), pool.borrow());
  }

  @Test
  void borrowedConnectionHasOneUserAndIsReturnedOnce() {
    ConnectionId connection = openConnection();
    pool.borrow();
    assertEquals(new BorrowDecision.Wait(), pool.borrow());
    ConnectionUse clean = new ConnectionUse(TransactionStatus.IDLE, 0, false, false, false);
    pool.returnConnection(connection, clean);

    assertThrows(IllegalArgumentException.class, () -> pool.returnConnection(connection, clean));
  }

  @Test
  void dirtyConnectionIsNeverBorrowedAgain() {
    ConnectionId connection = openConnection();
    pool.borrow();
    pool.returnConnection(
        connection, new ConnectionUse(TransactionStatus.IDLE, 1, false, false, false));

    assertEquals(new BorrowDecision.Wait(), pool.borrow());
    assertThrows(IllegalArgumentException.class, () -> pool.resetConfirmed(connection));
  }

  private ConnectionId openConnection() {
    quota.updateLease(clock.instant().plusSeconds(60));
    quota.updateOtherConnections(clock.instant(), 0);
    ConnectionId connection = pool.beginOpen(1).orElseThrow();
    pool.opened(connection);
    return connection;
  }
}

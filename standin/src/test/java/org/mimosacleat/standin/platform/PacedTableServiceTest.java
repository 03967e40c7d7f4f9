package org.mimosacleat.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.store.StoreLimits;
import org.mimosacleat.core.store.StoreRateLimiter;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.store.pacing.StorePacer;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.Attributes;
import org.mimosacleat.store.table.PacedTableService;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.table.WriteResult;

class PacedTableServiceTest {
  private static final long SEED = 11;
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final RowKey KEY = new RowKey("lease", "lending-1");

  private final PausedClock clock = new PausedClock();
  private final FaultInjector faults = new FaultInjector(clock::advance);
  private final StoreLimits limits =
      new StoreLimits(10, 1, Duration.ofSeconds(1), Duration.ofSeconds(30), Duration.ofSeconds(10));
  private final TableService table =
      new PacedTableService(
          new FakeTableService(faults),
          new StorePacer(
              new StoreRateLimiter(limits, clock, new Random(SEED)), clock, clock::advance));

  @Test
  void callWaitsForAdmissionWithinItsTimeout() {
    assertTrue(table.get(KEY, TIMEOUT).isRight());
    var before = clock.instant();
    assertTrue(table.get(KEY, TIMEOUT).isRight());

    assertTrue(clock.instant().isAfter(before), "seed " + SEED);
  }

  @Test
  void outageLimitsCallsAndWritesAreNotSent() {
    faults.setDown(true);
    WriteResult last = null;
    for (int call = 0; call < 1000; call++) {
      last = table.write(put(), Duration.ofMillis(1));
      clock.advance(Duration.ofMillis(100));
    }

    assertInstanceOf(WriteResult.NotSent.class, last);
    assertTrue(faults.writeCount() < 30, faults.writeCount() + " writes, seed " + SEED);
    assertEquals(0, faults.readCount());
  }

  private static RowWrite put() {
    return new RowWrite.Put(KEY, new RowCondition.Absent(), new WriteId("mine"), Attributes.NONE);
  }
}

package org.mimosacleat.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.object.ObjectPut;
import org.mimosacleat.store.object.OutcomeResolvingObjectStore;
import org.mimosacleat.store.object.PutCondition;
import org.mimosacleat.store.object.PutResult;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.Attributes;
import org.mimosacleat.store.table.OutcomeResolvingTableService;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.table.WriteResult;

class OutcomeResolvingTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final RowKey LEDGER = new RowKey("ledger", "lending-1");

  private final PausedClock clock = new PausedClock();
  private final FaultInjector faults = new FaultInjector(clock::advance);
  private final FakeTableService table = new FakeTableService(faults);
  private final TableService resolving = new OutcomeResolvingTableService(table, clock);

  @Test
  void writeWithLostAnswerIsAppliedOnce() {
    faults.loseNextAnswers(1);

    WriteResult result = resolving.write(create("mine"), TIMEOUT);

    assertTrue(result.isApplied());
    assertEquals(1, row().version());
  }

  @Test
  void conflictingWriteWithLostAnswerFailsItsCondition() {
    table.write(create("theirs"), TIMEOUT);
    faults.loseNextAnswers(1);

    assertInstanceOf(WriteResult.ConditionFailed.class, resolving.write(create("mine"), TIMEOUT));
    assertEquals(new WriteId("theirs"), row().writer());
  }

  @Test
  void delayedWriteTakesEffectOnce() {
    faults.holdNextWrites(1);

    WriteResult result = resolving.write(create("mine"), TIMEOUT);
    faults.releaseHeldWrites();

    assertTrue(result.isApplied());
    assertEquals(1, row().version());
  }

  @Test
  void outcomeStaysUnknownWhenTheRowWasOverwritten() {
    Row first = created();
    RowWrite.Put mine = change(first, "mine");
    faults.loseNextAnswers(1);
    table.write(mine, TIMEOUT);
    table.write(change(mine.row(), "theirs"), TIMEOUT);
    faults.loseNextAnswers(1);

    assertInstanceOf(WriteResult.Unknown.class, resolving.write(mine, TIMEOUT));
  }

  @Test
  void transactionWithLostAnswerIsApplied() {
    Row first = created();
    RowKey other = new RowKey("ledger", "lending-2");
    RowWrite.Put second =
        new RowWrite.Put(other, new RowCondition.Absent(), new WriteId("mine-2"), Attributes.NONE);
    faults.loseNextAnswers(1);

    WriteResult result = resolving.transact(List.of(change(first, "mine"), second), TIMEOUT);

    assertTrue(result.isApplied());
    assertEquals(2, row().version());
    assertTrue(table.get(other, TIMEOUT).get().isPresent());
  }

  @Test
  void failedConditionOfOneRowAbortsTheTransaction() {
    Row first = created();
    RowWrite.Check check = new RowWrite.Check(new RowKey("lease", "lending-1"), first.unchanged());

    WriteResult result = resolving.transact(List.of(change(first, "mine"), check), TIMEOUT);

    assertInstanceOf(WriteResult.ConditionFailed.class, result);
    assertEquals(1, row().version());
  }

  @Test
  void callEndsAtItsTimeoutWhenTheStoreIsSlow() {
    faults.setDelay(Duration.ofMinutes(1));
    var start = clock.instant();

    assertInstanceOf(WriteResult.Unknown.class, resolving.write(create("mine"), TIMEOUT));
    assertEquals(start.plus(TIMEOUT), clock.instant());
  }

  @Test
  void objectPutWithLostAnswerIsResolved() {
    FakeObjectStore objects = new FakeObjectStore(faults);
    OutcomeResolvingObjectStore resolvingObjects = new OutcomeResolvingObjectStore(objects, clock);
    ObjectKey key = new ObjectKey("lists/plans/00000001");
    faults.loseNextAnswers(1);

    PutResult mine = resolvingObjects.put(put(key, "mine"), TIMEOUT);
    faults.loseNextAnswers(1);
    PutResult theirs = resolvingObjects.put(put(key, "theirs"), TIMEOUT);

    assertInstanceOf(PutResult.Stored.class, mine);
    assertInstanceOf(PutResult.ConditionFailed.class, theirs);
  }

  private static ObjectPut put(ObjectKey key, String id) {
    return new ObjectPut(key, new PutCondition.Absent(), new WriteId(id), id);
  }

  private Row created() {
    table.write(create("first"), TIMEOUT);
    return row();
  }

  private Row row() {
    Optional<Row> row = table.get(LEDGER, TIMEOUT).get();
    return row.orElseThrow();
  }

  private static RowWrite.Put create(String id) {
    return new RowWrite.Put(
        LEDGER, new RowCondition.Absent(), new WriteId(id), Attributes.NONE.with("spent", 1));
  }

  private static RowWrite.Put change(Row row, String id) {
    return new RowWrite.Put(
        row.key(), row.unchanged(), new WriteId(id), Attributes.NONE.with("spent", 2));
  }
}

package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;

class PrimaryRecordsTest {
  private static final GroupId GROUP = new GroupId("lending");
  private static final EndpointId FORMER = new EndpointId("p");
  private static final EndpointId PROMOTED = new EndpointId("r");
  private static final PrimaryRecord BEFORE =
      new PrimaryRecord(
          GROUP,
          Optional.of(FORMER),
          new Term(1),
          0,
          Optional.empty(),
          new Confirmation(new StoreEra(1), 0));
  private static final PrimaryRecord CLAIMED =
      BEFORE.withReplacement(new Replacement(new VmId("vm-1"), false));
  private static final PrimaryRecord REPLACED =
      CLAIMED.withPrimary(PROMOTED, new Term(2), Position.NONE);

  private final List<RecordedPrimary> heard = new ArrayList<>();
  private final PrimaryRecords records = new PrimaryRecords(heard::add);

  @Test
  void newerVersionReplacesOlder() {
    records.put(recorded(BEFORE, 1, 10));
    records.put(recorded(CLAIMED, 1, 11));
    records.put(recorded(BEFORE, 1, 10));

    assertEquals(Optional.of(recorded(CLAIMED, 1, 11)), records.find(GROUP));
    assertEquals(2, heard.size());
  }

  /** Guards against: the record of the highest version wins for ever. */
  @Test
  void recordLostByTheStoreStaysInForceWithTheVersionOfTheOlderRow() {
    records.put(recorded(REPLACED, 1, 84));

    records.put(recorded(BEFORE, 2, 16));

    assertEquals(Optional.of(recorded(REPLACED, 2, 16)), records.find(GROUP));
    assertTrue(records.isLost(GROUP));
    assertFalse(records.find(GROUP).orElseThrow().isConfirmed());
  }

  @Test
  void claimLostByTheStoreStaysInForce() {
    records.put(recorded(CLAIMED, 1, 84));

    records.put(recorded(BEFORE, 2, 16));

    assertEquals(CLAIMED, records.find(GROUP).orElseThrow().record());
  }

  @Test
  void recordIsNoLongerLostOnceItIsWrittenAgain() {
    records.put(recorded(REPLACED, 1, 84));
    records.put(recorded(BEFORE, 2, 16));

    records.put(recorded(REPLACED, 2, 17));

    assertFalse(records.isLost(GROUP));
  }

  /** Guards against: an answer from before the store's return arrives after it. */
  @Test
  void olderRecordOfEarlierEraChangesNothing() {
    records.put(recorded(REPLACED, 2, 16));

    records.put(recorded(CLAIMED, 1, 84));

    assertEquals(Optional.of(recorded(REPLACED, 2, 16)), records.find(GROUP));
    assertFalse(records.isLost(GROUP));
  }

  @Test
  void laterRecordThatArrivesAfterItsLossIsKept() {
    records.put(recorded(BEFORE, 2, 16));

    records.put(recorded(REPLACED, 1, 84));

    assertEquals(Optional.of(recorded(REPLACED, 2, 16)), records.find(GROUP));
    assertTrue(records.isLost(GROUP));
  }

  @Test
  void recordThatTheCopyLacksIsLost() {
    records.put(recorded(BEFORE, 1, 84));

    records.retain(Set.of(), new StoreVersion(new StoreEra(2), 40));

    assertTrue(records.isLost(GROUP));
    assertEquals(StoreVersion.absent(new StoreEra(2)), records.find(GROUP).orElseThrow().version());
  }

  /** Guards against: nobody knows any longer which logs may hold acknowledged commits. */
  @Test
  void copiesOfTheLogThatTheStoreHasLostAreKept() {
    PrimaryRecord earlier = BEFORE.withCopies(copies(4, copy("x", 1, false), copy("y", 1, false)));
    PrimaryRecord later = BEFORE.withCopies(copies(9, copy("x", 1, true), copy("x", 2, false)));
    records.put(recorded(later, 1, 84));

    records.put(recorded(earlier, 2, 16));

    LogCopies all = copies(9, copy("x", 1, true), copy("x", 2, false), copy("y", 1, false));
    assertEquals(Optional.of(recorded(BEFORE.withCopies(all), 2, 16)), records.find(GROUP));
    assertTrue(records.isLost(GROUP));
  }

  @Test
  void copiesOfTheLogThatAreLeftOutInTheSameEraAreNotKept() {
    PrimaryRecord earlier = BEFORE.withCopies(copies(4, copy("x", 1, false), copy("y", 1, false)));
    PrimaryRecord later = BEFORE.withCopies(copies(9, copy("y", 1, false)));
    records.put(recorded(earlier, 1, 10));

    records.put(recorded(later, 1, 11));

    assertEquals(Optional.of(recorded(later, 1, 11)), records.find(GROUP));
    assertFalse(records.isLost(GROUP));
  }

  private static LogCopies copies(long required, LogCopy... copies) {
    return new LogCopies(
        Set.of(copies), new Position(new Term(1), new LogPosition(required)), false);
  }

  private static LogCopy copy(String endpoint, long startedAt, boolean draining) {
    InetSocketAddress address = InetSocketAddress.createUnresolved(endpoint, 1);
    return new LogCopy(new EndpointId(endpoint), address, startedAt, draining, 0);
  }

  private static RecordedPrimary recorded(PrimaryRecord record, long era, long version) {
    return new RecordedPrimary(record, new StoreVersion(new StoreEra(era), version));
  }
}

package org.mimosacleat.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.Region;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.store.StoreLimits;
import org.mimosacleat.core.store.StoreRateLimiter;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.core.vmlist.ListedState;
import org.mimosacleat.core.vmlist.VmListing;
import org.mimosacleat.core.vmlist.VmRecord;
import org.mimosacleat.store.aws.AwsPlatform;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.ListPublisher;
import org.mimosacleat.store.lists.PublishResult;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.object.ObjectPut;
import org.mimosacleat.store.object.ObjectRead;
import org.mimosacleat.store.object.PutCondition;
import org.mimosacleat.store.object.PutResult;
import org.mimosacleat.store.pacing.StorePacer;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.Attributes;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowCondition;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.WriteResult;

/** Tests the adapters with the real AWS SDK against the stand-in. */
class AwsPlatformTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
  private static final RowKey KEY = new RowKey("lease", "lending-1");

  private final MonotonicClock clock = new MonotonicClock();
  private PlatformStandin standin;
  private AwsPlatform platform;

  @BeforeEach
  void start() throws IOException {
    standin = PlatformStandin.start(InetAddress.getLoopbackAddress());
    platform = new AwsPlatform(standin.settings(), pacer(), pacer(), clock);
  }

  @AfterEach
  void stop() {
    platform.close();
    standin.close();
  }

  @Test
  void rowsAreCreatedChangedListedAndDeletedUnderConditions() {
    RowWrite.Put created = put(new RowCondition.Absent(), "first", 1);
    assertTrue(write(created).isApplied());
    Row row = platform.table().get(KEY, TIMEOUT).get().orElseThrow();
    assertEquals(created.row(), row);

    assertInstanceOf(
        WriteResult.ConditionFailed.class, write(put(new RowCondition.Absent(), "other", 9)));
    RowWrite.Put changed = put(row.unchanged(), "second", 2);
    assertTrue(write(changed).isApplied());
    assertInstanceOf(WriteResult.ConditionFailed.class, write(put(row.unchanged(), "third", 3)));
    assertEquals(List.of(changed.row()), platform.table().list("lease", TIMEOUT).get());
    assertTrue(write(new RowWrite.Delete(KEY, changed.row().unchanged())).isApplied());
    assertEquals(Optional.empty(), platform.table().get(KEY, TIMEOUT).get());
  }

  @Test
  void lostAnswerIsResolvedOverHttp() {
    standin.tableFaults().loseNextAnswers(1);

    assertTrue(write(put(new RowCondition.Absent(), "mine", 1)).isApplied());
    assertEquals(1, platform.table().get(KEY, TIMEOUT).get().orElseThrow().version());
  }

  @Test
  void writeThatTheTransportSendsTwiceCountsAsApplied() {
    RowWrite.Put first = put(new RowCondition.Absent(), "mine", 1);
    RowWrite.Put second = put(first.row().unchanged(), "mine-2", 2);
    RowWrite.Check other =
        new RowWrite.Check(new RowKey("lease", "lending-2"), new RowCondition.Absent());

    assertTrue(write(first).isApplied());
    assertTrue(write(first).isApplied());
    assertTrue(platform.table().transact(List.of(other, second), TIMEOUT).isApplied());
    assertTrue(platform.table().transact(List.of(other, second), TIMEOUT).isApplied());
    assertEquals(2, platform.table().get(KEY, TIMEOUT).get().orElseThrow().version());
  }

  @Test
  void outcomeIsUnknownWhenTheStoreExceedsTheTimeout() {
    standin.tableFaults().setDelay(Duration.ofSeconds(3));

    WriteResult result =
        platform.table().write(put(new RowCondition.Absent(), "mine", 1), SHORT_TIMEOUT);

    assertInstanceOf(WriteResult.Unknown.class, result);
    assertTrue(platform.table().get(KEY, SHORT_TIMEOUT).isLeft());
  }

  @Test
  void writeToUnreachableStoreIsNotSent() {
    standin.close();

    WriteResult result = write(put(new RowCondition.Absent(), "mine", 1));

    assertInstanceOf(WriteResult.NotSent.class, result);
  }

  @Test
  void objectsAreStoredUnderConditionsAndListed() {
    ObjectKey key = new ObjectKey("lists/plans/1 & <2>");
    PutResult.Stored stored =
        assertInstanceOf(PutResult.Stored.class, put(key, new PutCondition.Absent(), "a", "ā"));
    assertInstanceOf(
        PutResult.ConditionFailed.class, put(key, new PutCondition.Absent(), "b", "other"));
    PutCondition matches = new PutCondition.Matches(stored.tag());
    standin.objectFaults().loseNextAnswers(1);
    assertInstanceOf(PutResult.Stored.class, put(key, matches, "c", "whare"));

    ObjectRead.Found found =
        assertInstanceOf(
            ObjectRead.Found.class,
            platform.objects().get(key, Optional.of(stored.tag()), TIMEOUT).get());
    assertEquals("whare", found.object().text());
    assertEquals(new WriteId("c"), found.object().writer());
    assertInstanceOf(
        ObjectRead.NotModified.class,
        platform.objects().get(key, Optional.of(found.object().tag()), TIMEOUT).get());
    assertEquals(List.of(key), platform.objects().list("lists/", "lists/", TIMEOUT).get());
    assertInstanceOf(
        ObjectRead.Missing.class,
        platform.objects().get(new ObjectKey("none"), Optional.empty(), TIMEOUT).get());
  }

  @Test
  void vmListIsReadAgainWhenItChanges() {
    VmListing first = listing("entry-1");
    assertTrue(platform.vmList().read(TIMEOUT).isLeft());

    standin.writeVmList(first, new WriteId("vms-1"));
    assertEquals(first, platform.vmList().read(TIMEOUT).get());
    assertEquals(first, platform.vmList().read(TIMEOUT).get());
    VmListing second = listing("entry-2");
    standin.writeVmList(second, new WriteId("vms-2"));
    assertEquals(second, platform.vmList().read(TIMEOUT).get());
  }

  @Test
  void listIsPublishedByTransactionOverHttp() {
    ListPublisher publisher =
        new ListPublisher(platform.table(), platform.objects(), clock, new Random(3));
    ListEdit edit = new ListEdit(ListKind.PLANS, ListVersion.NONE, "ana", "", "# none yet\n");
    standin.tableFaults().loseNextAnswers(1);

    assertInstanceOf(PublishResult.Accepted.class, publisher.publish(edit, TIMEOUT));
    assertInstanceOf(PublishResult.Conflict.class, publisher.publish(edit, TIMEOUT));
  }

  private WriteResult write(RowWrite write) {
    return platform.table().write(write, TIMEOUT);
  }

  private PutResult put(ObjectKey key, PutCondition condition, String id, String text) {
    return platform.objects().put(new ObjectPut(key, condition, new WriteId(id), text), TIMEOUT);
  }

  private static RowWrite.Put put(RowCondition condition, String id, long token) {
    return new RowWrite.Put(
        KEY, condition, new WriteId(id), Attributes.NONE.with("fencing-token", token));
  }

  private static VmListing listing(String name) {
    VmRecord vm =
        new VmRecord(
            new VmId(name),
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 7000),
            new AvailabilityZone("tamaki"),
            new Region("aotearoa"),
            ListedState.LIVE);
    return new VmListing(Instant.parse("2026-01-01T00:00:00Z"), List.of(vm), List.of());
  }

  private StorePacer pacer() {
    StoreLimits limits =
        new StoreLimits(
            1000, 100, Duration.ofMillis(10), Duration.ofMillis(50), Duration.ofMillis(10));
    return new StorePacer(
        new StoreRateLimiter(limits, clock, new Random(1)), clock, Sleeper.SYSTEM);
  }
}

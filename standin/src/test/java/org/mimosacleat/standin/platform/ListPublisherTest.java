package org.mimosacleat.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersion;
import org.mimosacleat.core.lists.ListVersions;
import org.mimosacleat.core.lists.PublishedList;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.store.lists.ListEdit;
import org.mimosacleat.store.lists.ListFetcher;
import org.mimosacleat.store.lists.ListPublisher;
import org.mimosacleat.store.lists.PublishResult;

class ListPublisherTest {
  private static final long SEED = 7;
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final String GOLD_ALLOWANCES =
      "[plan gold]\nconnections = 5\nconcurrent-statements = 5\n"
          + "statements-per-second = 50\nguaranteed-share = 10\n";

  private final PausedClock clock = new PausedClock();
  private final FaultInjector tableFaults = new FaultInjector(clock::advance);
  private final FaultInjector objectFaults = new FaultInjector(clock::advance);
  private final FakeTableService table = new FakeTableService(tableFaults);
  private final FakeObjectStore objects = new FakeObjectStore(objectFaults);
  private final ListPublisher publisher =
      new ListPublisher(table, objects, clock, new Random(SEED));
  private final ListFetcher fetcher = new ListFetcher(table, objects);

  @BeforeEach
  void publishAllowances() {
    assertInstanceOf(
        PublishResult.Accepted.class, publish(ListKind.ALLOWANCES, 0, "ana", GOLD_ALLOWANCES));
  }

  @Test
  void oneConcurrentEditIsAcceptedAndTheOthersAreReturned() throws Exception {
    List<PublishResult> results = publishConcurrently(20);

    long accepted = results.stream().filter(PublishResult.Accepted.class::isInstance).count();
    assertEquals(1, accepted);
    PublishedList newest = fetcher.newest(ListKind.PLANS, TIMEOUT).get().orElseThrow();
    for (PublishResult result : results) {
      if (result instanceof PublishResult.Conflict(PublishedList reported, ListEdit rejected)) {
        assertEquals(newest, reported);
        assertTrue(rejected.text().contains(rejected.editor()));
      }
    }
    assertEquals(1, fetcher.history(ListKind.PLANS, 10, TIMEOUT).get().size());
  }

  @Test
  void editWithLostAnswerIsAccepted() {
    tableFaults.loseNextAnswers(1);
    PublishResult first = publish(ListKind.PLANS, 0, "ana", customer("bookings", "gold"));
    objectFaults.loseNextAnswers(1);
    PublishResult second = publish(ListKind.PLANS, 1, "ana", customer("whare", "gold"));

    assertInstanceOf(PublishResult.Accepted.class, first);
    assertInstanceOf(PublishResult.Accepted.class, second);
    assertEquals(
        new ListVersions(new ListVersion(2), new ListVersion(1)), fetcher.versions(TIMEOUT).get());
  }

  @Test
  void listInconsistentWithTheOtherIsInvalid() {
    publish(ListKind.PLANS, 0, "ana", customer("bookings", "gold"));

    assertInstanceOf(
        PublishResult.Invalid.class,
        publish(ListKind.PLANS, 1, "ana", customer("bookings", "silver")));
    assertInstanceOf(
        PublishResult.Invalid.class, publish(ListKind.ALLOWANCES, 1, "ana", "# empty\n"));
  }

  @Test
  void concurrentEditsOfBothListsStayConsistent() {
    String goldAndSilver = GOLD_ALLOWANCES + GOLD_ALLOWANCES.replace("gold", "silver");
    publish(ListKind.ALLOWANCES, 1, "ana", goldAndSilver);
    InterceptingObjectStore intercepting =
        new InterceptingObjectStore(
            objects, () -> publish(ListKind.ALLOWANCES, 2, "ben", GOLD_ALLOWANCES));
    ListPublisher slow = new ListPublisher(table, intercepting, clock, new Random(SEED + 1));
    String text = customer("bookings", "silver");

    PublishResult result =
        slow.publish(new ListEdit(ListKind.PLANS, ListVersion.NONE, "ana", "", text), TIMEOUT);

    assertInstanceOf(PublishResult.Invalid.class, result);
    assertEquals(new ListVersion(3), fetcher.versions(TIMEOUT).get().allowances());
    assertEquals(ListVersion.NONE, fetcher.versions(TIMEOUT).get().plans());
  }

  @Test
  void editDuringOutageIsNotStored() {
    tableFaults.setDown(true);
    PublishResult result = publish(ListKind.PLANS, 0, "ana", customer("bookings", "gold"));
    tableFaults.setDown(false);

    assertInstanceOf(PublishResult.NotStored.class, result);
    assertEquals(ListVersion.NONE, fetcher.versions(TIMEOUT).get().plans());
  }

  @Test
  void fetcherReturnsOnlyNewerVersionsAndEachVersionByNumber() {
    publish(ListKind.PLANS, 0, "ana", customer("bookings", "gold"));
    publish(ListKind.PLANS, 1, "ben", customer("whare", "gold"));
    ListVersions known = new ListVersions(new ListVersion(1), new ListVersion(1));

    List<PublishedList> newer = fetcher.newerThan(known, TIMEOUT).get();

    assertEquals(1, newer.size());
    assertEquals("ben", newer.getFirst().editor());
    PublishedList first =
        fetcher.version(ListKind.PLANS, new ListVersion(1), TIMEOUT).get().orElseThrow();
    assertEquals(customer("bookings", "gold"), first.text());
  }

  private List<PublishResult> publishConcurrently(int editors) throws Exception {
    List<Future<PublishResult>> running = new ArrayList<>();
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      for (int editor = 0; editor < editors; editor++) {
        String name = "editor-" + editor;
        String text = "# " + name + "\n" + customer("bookings", "gold");
        running.add(executor.submit(() -> publish(ListKind.PLANS, 0, name, text)));
      }
    }
    List<PublishResult> results = new ArrayList<>();
    for (Future<PublishResult> result : running) {
      results.add(result.get());
    }
    return results;
  }

  private PublishResult publish(ListKind kind, long base, String editor, String text) {
    return publisher.publish(new ListEdit(kind, new ListVersion(base), editor, "", text), TIMEOUT);
  }

  private static String customer(String name, String plan) {
    return "[customer " + name + "]\nplan = " + plan + "\n";
  }
}

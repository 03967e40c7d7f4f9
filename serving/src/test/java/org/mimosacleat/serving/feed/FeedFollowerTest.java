package org.mimosacleat.serving.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;

class FeedFollowerTest {
  private static final VmId FIRST = new VmId("first");
  private static final VmId SECOND = new VmId("second");
  private static final VmId DISTANT = new VmId("distant");
  private static final StoreEra ERA = new StoreEra(1);
  private static final FeedPage PAGE = new FeedPage("op", ERA, 3, 9, List.of());

  private final PausedClock clock = new PausedClock();
  private final ConfigurationFreshness freshness = new ConfigurationFreshness(clock, clock);
  private final FakeSources sources = new FakeSources();
  private final FeedFollower follower = new FeedFollower(sources, freshness, clock::advance);

  @Test
  void isFreshOnlyWhileTheStoreHasAnsweredTheOtherProxyRecently() {
    follower.chooseSource();
    assertFalse(follower.isFresh());

    answer(FIRST, Duration.ofMillis(500));
    assertTrue(follower.isFresh());

    clock.advance(Duration.ofMillis(1_500));
    assertFalse(follower.isFresh());
  }

  /** Pattern: the proxy that reads the store for its zone is cut off from the store. */
  @Test
  void anotherProxyIsFollowedIfTheFirstLosesTheStore() {
    follower.chooseSource();
    answer(FIRST, Duration.ZERO);
    clock.advance(Duration.ofSeconds(2));

    follower.chooseSource();
    answer(SECOND, Duration.ZERO);

    assertTrue(follower.isFresh());
  }

  @Test
  void proxyWithoutSourceAsksTheStore() {
    sources.candidates.clear();

    follower.chooseSource();

    assertFalse(follower.isFresh());
  }

  @Test
  void changesOfProxyNoLongerFollowedAreIgnored() throws InterruptedException {
    follower.chooseSource();
    clock.advance(Duration.ofSeconds(2));
    follower.chooseSource();

    sources.listeners.get(FIRST).pageReceived(PAGE);

    assertEquals(Optional.empty(), follower.next("op", Duration.ZERO));
  }

  /** Guards against: an answer that a partition has delayed makes the source look fresh. */
  @Test
  void delayedAnswerCountsFromItsQuestion() {
    follower.chooseSource();
    follower.ask();
    clock.advance(Duration.ofMillis(1_900));
    report(FIRST, 1, Duration.ofMillis(200));

    assertFalse(follower.isFresh());
    assertTrue(freshness.isOlderThan(Duration.ofMillis(2_099)));
  }

  @Test
  void answerToNoQuestionIsIgnored() {
    follower.chooseSource();
    follower.ask();
    report(FIRST, 7, Duration.ZERO);

    assertFalse(follower.isFresh());
  }

  /** Pattern: the source is frozen, and answers nothing. */
  @Test
  void silentSourceIsReplacedAfterOneSecond() {
    follower.chooseSource();
    clock.advance(Duration.ofSeconds(1));
    follower.chooseSource();
    answer(SECOND, Duration.ZERO);

    assertTrue(follower.isFresh());
  }

  /** Pattern: both sources of the zone are cut off from the store, and so is this proxy. */
  @Test
  void sourceOfAnotherZoneIsFollowedOnlyIfTheStoreFails() {
    loseNearSources();
    follower.chooseSource();
    assertFalse(sources.listeners.containsKey(DISTANT));

    follower.storeAnswers(false);
    follower.chooseSource();
    answer(DISTANT, Duration.ofMillis(600));
    assertTrue(follower.isFresh());

    follower.storeAnswers(true);
    follower.chooseSource();
    assertFalse(follower.isFresh());
  }

  /**
   * Guards against: a restarted source, which passes nothing on, keeps the store from being asked.
   */
  @Test
  void sourceIsFollowedAnewAfterItsConnectionIsLost() {
    follower.chooseSource();
    answer(FIRST, Duration.ZERO);
    final long before = follower.sourceNumber();

    sources.lost.add(FIRST);
    follower.ask();
    assertFalse(follower.isFresh());

    sources.lost.clear();
    follower.chooseSource();
    answer(FIRST, Duration.ZERO);
    assertTrue(follower.isFresh());
    assertTrue(follower.sourceNumber() > before);
  }

  /** Guards against: a source answers in time, but its changes never arrive. */
  @Test
  void sourceWhoseChangesDoNotArriveIsNotFresh() {
    follower.chooseSource();
    for (int step = 0; step < 6; step++) {
      follower.ask();
      sources.listeners.get(FIRST).contactReported(sources.lastNonce, contact(Duration.ZERO, 12));
      clock.advance(Duration.ofMillis(400));
    }

    assertFalse(follower.isFresh());

    freshness.applied(new StoreVersion(ERA, 12));
    assertTrue(follower.isFresh());
  }

  private void loseNearSources() {
    for (VmId source : List.of(FIRST, SECOND)) {
      follower.chooseSource();
      follower.ask();
      report(source, sources.lastNonce, Duration.ofSeconds(3));
    }
  }

  private void answer(VmId source, Duration age) {
    follower.ask();
    report(source, sources.lastNonce, age);
  }

  private void report(VmId source, long nonce, Duration age) {
    freshness.applied(new StoreVersion(ERA, 9));
    sources.listeners.get(source).contactReported(nonce, contact(age, 9));
  }

  private static StoreContact contact(Duration age, long version) {
    return new StoreContact(age, new StoreVersion(ERA, version));
  }

  @Test
  void pageWithGapContinuesNothing() {
    assertTrue(PAGE.continues(3));
    assertTrue(PAGE.continues(5));
    assertFalse(PAGE.continues(2));
  }

  @Test
  void rowsThatAreKnownAlreadyAreLeftOut() {
    FeedRow known = new FeedRow("a", new byte[0], 5, false);
    FeedRow newer = new FeedRow("b", new byte[0], 8, false);

    assertEquals(List.of(newer), new FeedPage("op", ERA, 3, 9, List.of(known, newer)).rowsAfter(5));
  }

  /** Guards against a proxy that follows no other for good after one unexpected exception. */
  @Test
  @Timeout(20)
  void followsAnotherProxyAfterAnUnexpectedException() throws InterruptedException {
    sources.failsOnce = true;
    Thread task = Thread.ofVirtual().start(follower);

    while (!sources.listeners.containsKey(FIRST) && task.isAlive()) {
      Thread.sleep(20);
    }
    boolean alive = task.isAlive();
    task.interrupt();
    task.join();

    assertTrue(alive);
  }

  /** Proxies that can all be reached. */
  private static final class FakeSources implements FeedSources {
    private final List<VmId> candidates = new ArrayList<>(List.of(FIRST, SECOND));
    private final Map<VmId, FeedListener> listeners = new ConcurrentHashMap<>();

    @Override
    public List<VmId> candidates() {
      return candidates;
    }

    private final Set<VmId> lost = new HashSet<>();
    private long lastNonce;
    private volatile boolean failsOnce;

    @Override
    public List<VmId> distantCandidates() {
      return List.of(DISTANT);
    }

    @Override
    public boolean askContact(VmId source, long nonce) {
      lastNonce = nonce;
      return !lost.contains(source);
    }

    @Override
    public boolean follow(VmId source, FeedListener listener, Optional<StoreVersion> known) {
      if (failsOnce) {
        failsOnce = false;
        throw new IllegalStateException("scripted");
      }
      listeners.put(source, listener);
      return true;
    }
  }
}

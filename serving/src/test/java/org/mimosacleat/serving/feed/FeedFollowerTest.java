package org.mimosacleat.serving.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.serving.version.StoreEra;

class FeedFollowerTest {
  private static final VmId FIRST = new VmId("first");
  private static final VmId SECOND = new VmId("second");
  private static final StoreEra ERA = new StoreEra(1);
  private static final FeedPage PAGE = new FeedPage("op", ERA, 3, 9, List.of());

  private final PausedClock clock = new PausedClock();
  private final FakeSources sources = new FakeSources();
  private final FeedFollower follower = new FeedFollower(sources, clock, clock::advance);

  @Test
  void isFreshOnlyWhileTheStoreHasAnsweredTheOtherProxyRecently() {
    follower.chooseSource();
    assertFalse(follower.isFresh());

    sources.listeners.get(FIRST).contactReported(Duration.ofMillis(500));
    assertTrue(follower.isFresh());

    clock.advance(Duration.ofMillis(1_500));
    assertFalse(follower.isFresh());
  }

  /** Pattern: the proxy that reads the store for its zone is cut off from the store. */
  @Test
  void anotherProxyIsFollowedIfTheFirstLosesTheStore() {
    follower.chooseSource();
    sources.listeners.get(FIRST).contactReported(Duration.ZERO);
    clock.advance(Duration.ofSeconds(2));

    follower.chooseSource();
    sources.listeners.get(SECOND).contactReported(Duration.ZERO);

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

  /** Proxies that can all be reached. */
  private static final class FakeSources implements FeedSources {
    private final List<VmId> candidates = new ArrayList<>(List.of(FIRST, SECOND));
    private final Map<VmId, FeedListener> listeners = new HashMap<>();

    @Override
    public List<VmId> candidates() {
      return candidates;
    }

    @Override
    public boolean follow(VmId source, FeedListener listener) {
      listeners.put(source, listener);
      return true;
    }
  }
}

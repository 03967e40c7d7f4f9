package org.mimosacleat.serving.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.process.RepeatedStep;
import org.tinylog.Logger;

/**
 * Follows the feeds of another proxy, which reads them from the store or follows one that does. The
 * changes are in time only while that proxy answers that its configuration was current recently.
 */
public final class FeedFollower implements Runnable {
  /**
   * Longer than a poll of the publisher and one of a proxy in between; far shorter than a change of
   * configuration may take.
   */
  private static final Duration MAX_CONTACT_AGE = Duration.ofMillis(2_000);

  private static final Duration ASK_INTERVAL = Duration.ofMillis(400);

  /**
   * How long a source that has failed is not followed again, so that all others are tried first.
   */
  private static final Duration FAILED_SOURCE_PAUSE = Duration.ofMillis(3_000);

  private static final int MAX_QUEUED_PAGES = 1_024;

  private final FeedSources sources;
  private final ConfigurationFreshness freshness;
  private final Sleeper sleeper;
  private final AtomicReference<FeedSource> current = new AtomicReference<>();
  private final AtomicLong sourceNumber = new AtomicLong();
  private final AtomicLong lastNonce = new AtomicLong();
  private final Map<VmId, ClockReading> failedAt = new ConcurrentHashMap<>();
  private final Map<String, BlockingQueue<FeedPage>> pages = new ConcurrentHashMap<>();
  private volatile boolean storeFails;

  /** Creates a follower without a source. */
  public FeedFollower(FeedSources sources, ConfigurationFreshness freshness, Sleeper sleeper) {
    this.sources = sources;
    this.freshness = freshness;
    this.sleeper = sleeper;
  }

  /** Chooses the proxy to follow and asks it, again and again. */
  @Override
  public void run() {
    new RepeatedStep("the store feeds of other proxies", this::followAndAsk, sleeper).run();
  }

  private void followAndAsk() {
    chooseSource();
    ask();
    sleeper.sleep(ASK_INTERVAL);
  }

  /** Returns whether all changes arrive in time, so that the store need not be asked. */
  public boolean isFresh() {
    FeedSource source = current.get();
    return source != null && source.isFresh();
  }

  /** Returns the proxy whose changes arrive in time. */
  public Optional<VmId> freshSource() {
    return Optional.ofNullable(current.get()).filter(FeedSource::isFresh).map(FeedSource::vm);
  }

  /**
   * Returns the number of the source that is followed now; each change of the source has a new one.
   */
  public long sourceNumber() {
    return sourceNumber.get();
  }

  /** Records whether the store answers this proxy; proxies of other zones are followed if not. */
  public void storeAnswers(boolean answers) {
    storeFails = !answers;
  }

  /** Waits for the next changes of a table. */
  public Optional<FeedPage> next(String table, Duration wait) throws InterruptedException {
    return Optional.ofNullable(queue(table).poll(wait.toNanos(), TimeUnit.NANOSECONDS));
  }

  /** Follows the first proxy that proves contact to the store; keeps the one that does. */
  void chooseSource() {
    List<VmId> candidates = candidates();
    FeedSource source = current.get();
    if (source != null && candidates.contains(source.vm())) {
      if (source.isFresh() || source.isNew()) {
        return;
      }
      failedAt.put(source.vm(), freshness.now());
    }
    for (VmId candidate : candidates) {
      if (!hasFailed(candidate) && follow(candidate)) {
        return;
      }
    }
    current.set(null);
  }

  /** Asks the source for its contact to the store. */
  void ask() {
    FeedSource source = current.get();
    if (source == null) {
      return;
    }
    long nonce = lastNonce.incrementAndGet();
    source.asking(nonce);
    if (!sources.askContact(source.vm(), nonce)) {
      // Pages may have been lost with the connection, so the next one joins the feeds anew.
      current.compareAndSet(source, null);
    }
  }

  private List<VmId> candidates() {
    List<VmId> candidates = new ArrayList<>(sources.candidates());
    if (storeFails) {
      candidates.addAll(sources.distantCandidates());
    }
    return candidates;
  }

  private boolean hasFailed(VmId candidate) {
    ClockReading failed = failedAt.get(candidate);
    return failed != null && failed.elapsedAt(freshness.now()).compareTo(FAILED_SOURCE_PAUSE) < 0;
  }

  private boolean follow(VmId candidate) {
    FeedSource next =
        new FeedSource(candidate, freshness, MAX_CONTACT_AGE, page -> received(candidate, page));
    sourceNumber.incrementAndGet();
    current.set(next);
    boolean connected =
        sources.follow(candidate, next, freshness.contact().map(StoreContact::version));
    if (connected) {
      Logger.info("following the store feeds of proxy {}", candidate);
    }
    return connected;
  }

  private void received(VmId sender, FeedPage page) {
    FeedSource source = current.get();
    if (source == null || !source.vm().equals(sender)) {
      return;
    }
    // A page that finds no room leaves a gap, after which the reader asks the store.
    if (!queue(page.table()).offer(page)) {
      Logger.warn("too many changes of table {} wait; one page dropped", page.table());
    }
  }

  private BlockingQueue<FeedPage> queue(String table) {
    return pages.computeIfAbsent(table, _ -> new LinkedBlockingQueue<>(MAX_QUEUED_PAGES));
  }
}

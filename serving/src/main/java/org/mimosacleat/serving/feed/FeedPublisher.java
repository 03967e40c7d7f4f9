package org.mimosacleat.serving.feed;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * Passes the changes that this proxy has read or accepted on to the proxies that follow it, and
 * tells them how old the configuration may be.
 */
public final class FeedPublisher {
  private final ConfigurationFreshness freshness;
  private final ExecutorService executor;
  private final Set<FeedSubscriber> subscribers = ConcurrentHashMap.newKeySet();
  private final AtomicReference<Optional<FeedPage>> wholeTable =
      new AtomicReference<>(Optional.empty());

  /** Creates a publisher without subscribers. */
  public FeedPublisher(ConfigurationFreshness freshness, ExecutorService executor) {
    this.freshness = freshness;
    this.executor = executor;
  }

  /**
   * Starts to pass changes on to a proxy. It first gets what it lacks of the operator's table, so
   * that it can continue without the store. A large configuration is not sent again to a proxy that
   * comes back: many such pages at once would fill the links and so make more proxies come back.
   *
   * @param known the version of the operator's table that the proxy has applied, if any
   */
  public void add(FeedSubscriber subscriber, Optional<StoreVersion> known) {
    subscribers.add(subscriber);
    wholeTable
        .get()
        .map(whole -> since(whole, known))
        .ifPresent(page -> executor.execute(() -> subscriber.sendPage(page)));
  }

  private static FeedPage since(FeedPage whole, Optional<StoreVersion> known) {
    if (known.isEmpty() || !known.get().era().equals(whole.era())) {
      return whole;
    }
    long after = Math.min(known.get().number(), whole.version());
    return new FeedPage(whole.table(), whole.era(), after, whole.version(), whole.rowsAfter(after));
  }

  /** Stops passing changes on to a proxy. */
  public void remove(FeedSubscriber subscriber) {
    subscribers.remove(subscriber);
  }

  /** Returns whether any proxy follows this one. */
  public boolean hasSubscribers() {
    return !subscribers.isEmpty();
  }

  /** Returns what this proxy can vouch for; empty before its first proof. */
  public Optional<StoreContact> contact() {
    return freshness.contact();
  }

  /** Passes changes on. */
  public void publish(FeedPage page) {
    subscribers.forEach(subscriber -> executor.execute(() -> subscriber.sendPage(page)));
  }

  /** Passes changes of the operator's table on, and remembers them for later subscribers. */
  public void publishConfiguration(FeedPage page) {
    wholeTable.updateAndGet(known -> merge(known, page));
    publish(page);
  }

  private static Optional<FeedPage> merge(Optional<FeedPage> known, FeedPage page) {
    if (page.isWhole()) {
      return Optional.of(page);
    }
    return known
        .filter(whole -> whole.era().equals(page.era()) && page.continues(whole.version()))
        .map(whole -> extended(whole, page));
  }

  private static FeedPage extended(FeedPage whole, FeedPage page) {
    Map<String, FeedRow> rows = new LinkedHashMap<>();
    whole.rows().forEach(row -> rows.put(row.key(), row));
    page.rowsAfter(whole.version()).forEach(row -> rows.put(row.key(), row));
    long version = Math.max(whole.version(), page.version());
    return new FeedPage(
        whole.table(), whole.era(), whole.after(), version, List.copyOf(rows.values()));
  }
}

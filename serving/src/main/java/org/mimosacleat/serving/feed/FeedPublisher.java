package org.mimosacleat.serving.feed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.time.Sleeper;

/** Passes the changes that this proxy reads from the store on to the proxies that follow it. */
public final class FeedPublisher implements Runnable {
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(400);

  private final InstantSource clock;
  private final ExecutorService executor;
  private final Sleeper sleeper;
  private final Set<FeedSubscriber> subscribers = ConcurrentHashMap.newKeySet();
  private final AtomicReference<Instant> lastContact = new AtomicReference<>(Instant.MIN);

  /** Creates a publisher without subscribers. */
  public FeedPublisher(InstantSource clock, ExecutorService executor, Sleeper sleeper) {
    this.clock = clock;
    this.executor = executor;
    this.sleeper = sleeper;
  }

  /** Reports the contact to the store at regular intervals. */
  @Override
  public void run() {
    while (!Thread.currentThread().isInterrupted()) {
      subscribers.forEach(subscriber -> executor.execute(() -> report(subscriber)));
      sleeper.sleep(REPORT_INTERVAL);
    }
  }

  /** Starts to pass changes on to a proxy. */
  public void add(FeedSubscriber subscriber) {
    subscribers.add(subscriber);
    report(subscriber);
  }

  /** Stops passing changes on to a proxy. */
  public void remove(FeedSubscriber subscriber) {
    subscribers.remove(subscriber);
  }

  /** Returns whether any proxy follows this one. */
  public boolean hasSubscribers() {
    return !subscribers.isEmpty();
  }

  /**
   * Records that the store has answered, and passes the changes on.
   *
   * @param provesContact whether the store answers polls of this table at short intervals; answers
   *     of other polls may come late, and so say nothing about the present contact
   */
  public void publish(FeedPage page, boolean provesContact) {
    if (provesContact) {
      lastContact.set(clock.instant());
    }
    subscribers.forEach(subscriber -> executor.execute(() -> subscriber.sendPage(page)));
  }

  private void report(FeedSubscriber subscriber) {
    Instant last = lastContact.get();
    if (!last.equals(Instant.MIN)) {
      subscriber.sendContact(Duration.between(last, clock.instant()));
    }
  }
}

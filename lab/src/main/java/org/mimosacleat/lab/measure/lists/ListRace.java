package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Operators who edit at the same moments, and proxies that hear of accepted edits late and out of
 * order. A refused operator reads again and tries again.
 *
 * @param <M> the messages of the variant
 */
final class ListRace<M> {
  private static final int ROUNDS = 300;
  private static final Duration ROUND = Duration.ofSeconds(30);
  private static final int OPERATORS = 4;
  private static final long START_WINDOW_MILLISECONDS = 2000;
  private static final long LONGEST_THOUGHT_MILLISECONDS = 3000;
  private static final long LONGEST_DELAY_MILLISECONDS = 500;
  private static final long LONGEST_LATE_DELAY_MILLISECONDS = 10_000;
  private static final double LATE_SHARE = 0.02;

  private final Timeline timeline;
  private final RandomGenerator random;
  private final ListVariant<M> variant;
  private final int proxies;
  private final int keys;
  private final RaceCount count;
  private long serial;

  ListRace(
      Timeline timeline, RandomGenerator random, ListVariant<M> variant, int proxies, int keys) {
    this.timeline = timeline;
    this.random = random;
    this.variant = variant;
    this.proxies = proxies;
    this.keys = keys;
    this.count = new RaceCount(proxies, keys);
  }

  RaceCount run() {
    Instant start = timeline.clock().instant();
    for (int round = 0; round < ROUNDS; round++) {
      Instant opening = start.plus(ROUND.multipliedBy(round));
      for (int operator = 0; operator < OPERATORS; operator++) {
        timeline.at(opening.plus(upTo(START_WINDOW_MILLISECONDS)), this::startEdit);
      }
    }
    timeline.runUntil(start.plus(ROUND.multipliedBy(ROUNDS + 1)));
    return count;
  }

  private void startEdit() {
    serial++;
    read(new Edit(serial, random.nextInt(keys), random.nextInt(proxies)));
  }

  private void read(Edit edit) {
    Snapshot base = variant.read(edit.proxy());
    timeline.after(upTo(LONGEST_THOUGHT_MILLISECONDS), () -> submit(edit, base));
  }

  private void submit(Edit edit, Snapshot base) {
    Optional<M> accepted = variant.submit(edit, base);
    if (accepted.isEmpty()) {
      count.refused();
      read(edit);
      return;
    }
    count.accepted(edit, base);
    for (int proxy = 0; proxy < proxies; proxy++) {
      int receiver = proxy;
      boolean own = proxy == edit.proxy();
      timeline.after(own ? Duration.ZERO : delay(), () -> deliver(receiver, accepted.get()));
    }
  }

  private void deliver(int proxy, M message) {
    variant.deliver(proxy, message);
    count.observe(proxy, variant.inForce(proxy));
  }

  private Duration delay() {
    boolean late = random.nextDouble() < LATE_SHARE;
    return upTo(late ? LONGEST_LATE_DELAY_MILLISECONDS : LONGEST_DELAY_MILLISECONDS);
  }

  private Duration upTo(long milliseconds) {
    return Duration.ofMillis(random.nextLong(milliseconds));
  }
}

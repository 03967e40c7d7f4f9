package org.mimosacleat.lab.measure.lists;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Simulates operators that edit a list concurrently, and proxies that receive accepted edits late
 * and out of order. After a refused edit the operator reads the list again and retries.
 *
 * @param <M> the type of the messages that the variant sends to the proxies
 */
final class ListRace<M> {
  private static final int ROUNDS = 300;
  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(30);
  private static final int OPERATORS = 4;
  private static final long START_WINDOW_MILLISECONDS = 2000;
  private static final long MAX_THINK_TIME_MILLISECONDS = 3000;
  private static final long MAX_DELAY_MILLISECONDS = 500;
  private static final long MAX_LATE_DELAY_MILLISECONDS = 10_000;
  private static final double LATE_MESSAGE_SHARE = 0.02;

  private final EventQueue events;
  private final RandomGenerator random;
  private final ListVariant<M> variant;
  private final int proxies;
  private final int keys;
  private final RaceStatistics statistics;
  private long lastSerial;

  ListRace(
      EventQueue events, RandomGenerator random, ListVariant<M> variant, int proxies, int keys) {
    this.events = events;
    this.random = random;
    this.variant = variant;
    this.proxies = proxies;
    this.keys = keys;
    this.statistics = new RaceStatistics(proxies, keys);
  }

  RaceStatistics run() {
    Instant start = events.clock().instant();
    for (int round = 0; round < ROUNDS; round++) {
      Instant roundStart = start.plus(ROUND_INTERVAL.multipliedBy(round));
      for (int operator = 0; operator < OPERATORS; operator++) {
        events.scheduleAt(
            roundStart.plus(randomDuration(START_WINDOW_MILLISECONDS)), this::startEdit);
      }
    }
    events.runUntil(start.plus(ROUND_INTERVAL.multipliedBy(ROUNDS + 1)));
    return statistics;
  }

  private void startEdit() {
    lastSerial++;
    read(new Edit(lastSerial, random.nextInt(keys), random.nextInt(proxies)));
  }

  private void read(Edit edit) {
    Snapshot base = variant.read(edit.proxy());
    events.scheduleAfter(randomDuration(MAX_THINK_TIME_MILLISECONDS), () -> submit(edit, base));
  }

  private void submit(Edit edit, Snapshot base) {
    Optional<M> accepted = variant.submit(edit, base);
    if (accepted.isEmpty()) {
      statistics.recordRefused();
      read(edit);
      return;
    }
    statistics.recordAccepted(edit, base);
    for (int proxy = 0; proxy < proxies; proxy++) {
      int receiver = proxy;
      boolean isSender = proxy == edit.proxy();
      events.scheduleAfter(
          isSender ? Duration.ZERO : randomDeliveryDelay(),
          () -> deliver(receiver, accepted.get()));
    }
  }

  private void deliver(int proxy, M message) {
    variant.deliver(proxy, message);
    statistics.observe(proxy, variant.currentValues(proxy));
  }

  private Duration randomDeliveryDelay() {
    boolean late = random.nextDouble() < LATE_MESSAGE_SHARE;
    return randomDuration(late ? MAX_LATE_DELAY_MILLISECONDS : MAX_DELAY_MILLISECONDS);
  }

  private Duration randomDuration(long milliseconds) {
    return Duration.ofMillis(random.nextLong(milliseconds));
  }
}

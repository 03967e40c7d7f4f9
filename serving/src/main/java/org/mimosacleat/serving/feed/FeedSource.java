package org.mimosacleat.serving.feed;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.mimosacleat.core.id.VmId;

/** One proxy that is followed: the questions it was asked, and what it has proved. Thread-safe. */
final class FeedSource implements FeedListener {
  /**
   * Longer than a proxy takes that is alive; a fifth of the time in which a key must be revoked.
   */
  private static final Duration MAX_SILENCE = Duration.ofMillis(1_000);

  private static final int MAX_OPEN_QUESTIONS = 16;

  private final VmId vm;
  private final ConfigurationFreshness freshness;
  private final Duration maxAge;
  private final Consumer<FeedPage> pages;
  private final ClockReading startedAt;
  private final Map<Long, ClockReading> questions = new LinkedHashMap<>();
  private Optional<ClockReading> currentAt = Optional.empty();
  private Optional<Voucher> awaited = Optional.empty();

  /**
   * Creates a source that has not been asked yet.
   *
   * @param maxAge how old the source's proof may be, and how long its pages may take to arrive
   * @param pages receives its changes
   */
  FeedSource(VmId vm, ConfigurationFreshness freshness, Duration maxAge, Consumer<FeedPage> pages) {
    this.vm = vm;
    this.freshness = freshness;
    this.maxAge = maxAge;
    this.pages = pages;
    this.startedAt = freshness.now();
  }

  VmId vm() {
    return vm;
  }

  /** Records a question that is about to be sent. */
  synchronized void asking(long nonce) {
    if (questions.size() >= MAX_OPEN_QUESTIONS) {
      questions.remove(questions.keySet().iterator().next());
    }
    questions.put(nonce, freshness.now());
  }

  /** Returns whether the source has had little time to answer its first question. */
  synchronized boolean isNew() {
    return currentAt.isEmpty() && startedAt.elapsedAt(freshness.now()).compareTo(MAX_SILENCE) < 0;
  }

  /** Returns whether the source has recent proof and its changes have arrived. */
  synchronized boolean isFresh() {
    ClockReading now = freshness.now();
    boolean recent = currentAt.map(at -> at.elapsedAt(now).compareTo(maxAge) < 0).orElse(false);
    return recent && !lags(now);
  }

  private boolean lags(ClockReading now) {
    return awaited
        .filter(voucher -> !freshness.hasApplied(voucher.version()))
        .map(voucher -> voucher.currentAt().elapsedAt(now).compareTo(maxAge) >= 0)
        .orElse(false);
  }

  @Override
  public void pageReceived(FeedPage page) {
    pages.accept(page);
  }

  @Override
  public synchronized void contactReported(long nonce, StoreContact contact) {
    ClockReading askedAt = questions.remove(nonce);
    if (askedAt == null) {
      return;
    }
    freshness.peerVouched(askedAt, contact.age(), contact.version());
    ClockReading vouched = askedAt.minus(contact.age());
    ClockReading now = freshness.now();
    if (currentAt
        .map(known -> vouched.elapsedAt(now).compareTo(known.elapsedAt(now)) < 0)
        .orElse(true)) {
      currentAt = Optional.of(vouched);
    }
    if (awaited.map(voucher -> freshness.hasApplied(voucher.version())).orElse(true)) {
      awaited = Optional.of(new Voucher(now, contact.version()));
    }
  }
}

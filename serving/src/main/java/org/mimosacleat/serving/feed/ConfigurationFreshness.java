package org.mimosacleat.serving.feed;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * Holds the latest moment at which the applied configuration was known to be current. Thread-safe.
 *
 * <p>Each moment is that of the question, since the answer may have been delayed. Callers read it
 * with {@link #now} before they ask, on both clocks: its wall-clock time can't be derived later,
 * since the machine may have been suspended in between.
 */
public final class ConfigurationFreshness {
  /** The age of a configuration that was never known to be current. */
  public static final Duration NEVER = Duration.ofSeconds(Long.MAX_VALUE);

  private final InstantSource clock;
  private final InstantSource wallClock;
  private final AtomicReference<FreshnessState> state =
      new AtomicReference<>(FreshnessState.UNKNOWN);

  /**
   * Creates an instance without any proof.
   *
   * @param clock the monotonic clock
   * @param wallClock a clock that continues to run while the machine is suspended
   */
  public ConfigurationFreshness(InstantSource clock, InstantSource wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Returns the present moment, to be read before the store or a peer is asked. */
  public ClockReading now() {
    return new ClockReading(clock.instant(), wallClock.instant());
  }

  /**
   * Records an answer of the store for the operator's table, after its rows have been applied.
   *
   * @param askedAt when the request was sent
   * @param version the version of the answer
   */
  public void storeAnswered(ClockReading askedAt, StoreVersion version) {
    update(known -> known.withAnswer(askedAt, version, now()));
  }

  /**
   * Records the answer of a peer. It counts once this proxy has applied the version in its era.
   *
   * @param askedAt when the question was sent
   * @param age the age of the peer's configuration when it answered
   * @param version the version of the operator's table that the peer had applied
   */
  public void peerVouched(ClockReading askedAt, Duration age, StoreVersion version) {
    Voucher voucher = new Voucher(askedAt.minus(age), version);
    update(known -> known.withVoucher(voucher, now()));
  }

  /** Records that all changes of the operator's table up to a version have been applied. */
  public void applied(StoreVersion version) {
    update(known -> known.withApplied(version, now()));
  }

  /** Returns whether a version, or a later one of its era, has been applied. */
  public boolean hasApplied(StoreVersion version) {
    return state.get().hasApplied(version);
  }

  /** Returns how long ago the configuration was known to be current, or {@link #NEVER}. */
  public Duration age() {
    return ageOf(state.get());
  }

  /** Returns whether the configuration was not known to be current within a time. */
  public boolean isOlderThan(Duration bound) {
    return age().compareTo(bound) > 0;
  }

  /** Returns what this proxy can vouch for; empty before the first proof. */
  public Optional<StoreContact> contact() {
    FreshnessState known = state.get();
    return known.currentAt().isEmpty()
        ? Optional.empty()
        : known.applied().map(version -> new StoreContact(ageOf(known), version));
  }

  private Duration ageOf(FreshnessState known) {
    return known.currentAt().map(moment -> moment.elapsedAt(now())).orElse(NEVER);
  }

  private void update(UnaryOperator<FreshnessState> change) {
    state.updateAndGet(change);
  }
}

package org.mimosacleat.core.store;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

/**
 * Decides when a process may send a request to the platform's store, so that a large fleet never
 * exceeds what the store can serve, least of all at the end of an outage.
 *
 * <p>Ask {@link #admit()} before each request and report each result. While the store answers, a
 * token bucket bounds the rate. After a failure one request at a time is let through, each after a
 * wait drawn evenly between zero and a bound that doubles with each failure (exponential backoff
 * with full jitter). After the outage the rate rises linearly to its steady value. Safe for several
 * threads.
 */
public final class StoreGate {
  private static final int MAXIMUM_DOUBLINGS = 30;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final StoreLimits limits;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final AtomicReference<GateState> state;

  /**
   * Starts with the store presumed to answer.
   *
   * @param limits the bounds of this process
   * @param clock the time
   * @param random the jitter; must be safe for as many threads as ask
   */
  public StoreGate(StoreLimits limits, InstantSource clock, RandomGenerator random) {
    this.limits = limits;
    this.clock = clock;
    this.random = random;
    this.state = new AtomicReference<>(GateState.open(clock.instant(), limits));
  }

  /** Decides on one request; an admitted one must be followed by a result. */
  public Admission admit() {
    while (true) {
      GateState current = state.get();
      Instant now = clock.instant();
      Decision decision = current.isDown() ? whileDown(current, now) : whileAnswering(current, now);
      if (state.compareAndSet(current, decision.next())) {
        return decision.admission();
      }
    }
  }

  /** Reports that the store answered, whatever the answer said. */
  public void succeeded() {
    Instant now = clock.instant();
    state.updateAndGet(current -> current.isDown() ? current.recovered(now) : current);
  }

  /** Reports that the store did not answer, or that it was overloaded. */
  public void failed() {
    Instant now = clock.instant();
    double share = random.nextDouble();
    state.updateAndGet(current -> current.failed(now.plus(backoff(current.failures(), share))));
  }

  /** Tells whether the last result was a failure. */
  public boolean isDown() {
    return state.get().isDown();
  }

  private record Decision(Admission admission, GateState next) {}

  private Decision whileDown(GateState current, Instant now) {
    if (now.isBefore(current.retryAt())) {
      return new Decision(new Admission.Deferred(current.retryAt()), current);
    }
    Instant next = now.plus(backoff(current.failures(), 1));
    return new Decision(new Admission.Admitted(), current.withRetryAt(next));
  }

  private Decision whileAnswering(GateState current, Instant now) {
    double rate = rateAt(current, now);
    double earned = seconds(Duration.between(current.refilledAt(), now)) * rate;
    double tokens = Math.min(limits.burst(), current.tokens() + Math.max(0, earned));
    GateState counted = current.withTokens(tokens, now);
    if (tokens >= 1) {
      return new Decision(new Admission.Admitted(), counted.withTokens(tokens - 1, now));
    }
    double wait = (1 - tokens) / rate * (1 + random.nextDouble());
    Instant retryAt = now.plusNanos((long) (wait * NANOSECONDS_PER_SECOND));
    return new Decision(new Admission.Deferred(retryAt), counted);
  }

  private double rateAt(GateState current, Instant now) {
    double ramp = seconds(limits.rampUp());
    double since = seconds(Duration.between(current.recoveredAt(), now));
    double lowest = 0.1;
    double share = ramp <= 0 ? 1 : Math.clamp(since / ramp, lowest, 1);
    return limits.requestsPerSecond() * share;
  }

  private Duration backoff(int failures, double share) {
    double doubled =
        limits.firstBackoff().toNanos() * Math.pow(2, Math.min(failures, MAXIMUM_DOUBLINGS));
    double bound = Math.min(limits.maximumBackoff().toNanos(), doubled);
    return Duration.ofNanos((long) (bound * share));
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / NANOSECONDS_PER_SECOND;
  }
}

package org.mimosacleat.proxy.operations;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.mimosacleat.core.error.ErrorKind;

/** Counts batches by outcome and records the duration of the answered ones. */
public final class BatchMetrics {
  private static final String NAME = "mimosacleat.batches";

  private final Timer answered;
  private final Map<ErrorKind, Counter> failed = new EnumMap<>(ErrorKind.class);

  /** Registers the meters. */
  public BatchMetrics(MeterRegistry registry) {
    this.answered =
        Timer.builder(NAME + ".answered")
            .description("Batches answered by an endpoint, with their total duration.")
            .publishPercentiles(0.5, 0.99)
            .register(registry);
    for (ErrorKind kind : ErrorKind.values()) {
      failed.put(
          kind,
          Counter.builder(NAME + ".failed")
              .description("Batches that failed in the proxy, by kind of failure.")
              .tag("kind", kind.name())
              .register(registry));
    }
  }

  /** Records an answered batch and its total duration. */
  public void recordAnswer(Duration time) {
    answered.record(time);
  }

  /** Counts a failed batch. */
  public void recordFailure(ErrorKind kind) {
    failed.get(kind).increment();
  }
}

package org.mimosacleat.proxy.operations;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.mimosacleat.core.error.ErrorKind;

/** Counts batches by how they ended, and times the answered ones. */
public final class BatchMetrics {
  private static final String NAME = "mimosacleat.batches";

  private final Timer answered;
  private final Map<ErrorKind, Counter> failed = new EnumMap<>(ErrorKind.class);

  /** Registers the meters. */
  public BatchMetrics(MeterRegistry registry) {
    this.answered =
        Timer.builder(NAME + ".answered")
            .description("Batches that an endpoint answered, with their whole time.")
            .publishPercentiles(0.5, 0.99)
            .register(registry);
    for (ErrorKind kind : ErrorKind.values()) {
      failed.put(
          kind,
          Counter.builder(NAME + ".failed")
              .description("Batches that ended with a failure of the proxy, by kind.")
              .tag("kind", kind.name())
              .register(registry));
    }
  }

  /** Counts a batch that was answered. */
  public void answered(Duration time) {
    answered.record(time);
  }

  /** Counts a batch that ended with a failure. */
  public void failed(ErrorKind kind) {
    failed.get(kind).increment();
  }
}

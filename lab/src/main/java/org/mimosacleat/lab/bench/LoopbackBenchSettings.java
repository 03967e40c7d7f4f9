package org.mimosacleat.lab.bench;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The size of a loopback measurement.
 *
 * @param clients the number of concurrent clients in the throughput measurement
 * @param rounds the number of rounds, each with one direct and one proxied phase
 * @param statementsPerRound the number of statements in each latency phase
 * @param throughputPhase the duration of each throughput phase
 * @param warmUpStatements statements sent to each target before latency is measured
 * @param warmUpPhase how long each target is loaded before throughput is measured
 */
public record LoopbackBenchSettings(
    int clients,
    int rounds,
    int statementsPerRound,
    Duration throughputPhase,
    int warmUpStatements,
    Duration warmUpPhase) {
  private static final int DEFAULT_CLIENTS = 64;
  private static final int DEFAULT_ROUNDS = 10;
  private static final int DEFAULT_STATEMENTS_PER_ROUND = 2_000;
  private static final Duration DEFAULT_THROUGHPUT_PHASE = Duration.ofSeconds(1);
  private static final int DEFAULT_WARM_UP_STATEMENTS = 10_000;
  private static final Duration DEFAULT_WARM_UP_PHASE = Duration.ofSeconds(3);

  /** Checks that counts and durations are in range. */
  public LoopbackBenchSettings {
    Checks.positive("bench clients", clients);
    Checks.positive("bench rounds", rounds);
    Checks.positive("bench statements per round", statementsPerRound);
    Checks.positive("throughput phase in milliseconds", throughputPhase.toMillis());
    Checks.notNegative("warm-up statements", warmUpStatements);
    Checks.notNegative("warm-up phase in milliseconds", warmUpPhase.toMillis());
  }

  /** Returns 64 clients and 10 rounds, each with 2,000 statements and one second of load. */
  public static LoopbackBenchSettings defaults() {
    return new LoopbackBenchSettings(
        DEFAULT_CLIENTS,
        DEFAULT_ROUNDS,
        DEFAULT_STATEMENTS_PER_ROUND,
        DEFAULT_THROUGHPUT_PHASE,
        DEFAULT_WARM_UP_STATEMENTS,
        DEFAULT_WARM_UP_PHASE);
  }
}

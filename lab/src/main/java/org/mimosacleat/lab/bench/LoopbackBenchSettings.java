package org.mimosacleat.lab.bench;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * How much a loopback measurement does.
 *
 * @param clients clients that run at once in the measurement of throughput
 * @param rounds how often direct and proxied phases take turns
 * @param statementsPerRound statements of one latency phase
 * @param throughputPhase how long one throughput phase lasts
 * @param warmUpStatements statements of each target before the latency is measured
 * @param warmUpPhase how long each target is run before the throughput is measured
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

  /** Checks the numbers. */
  public LoopbackBenchSettings {
    Checks.positive("bench clients", clients);
    Checks.positive("bench rounds", rounds);
    Checks.positive("bench statements per round", statementsPerRound);
    Checks.positive("throughput phase in milliseconds", throughputPhase.toMillis());
    Checks.notNegative("warm-up statements", warmUpStatements);
    Checks.notNegative("warm-up phase in milliseconds", warmUpPhase.toMillis());
  }

  /** 64 clients, 10 rounds of 2,000 statements and of one second. */
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

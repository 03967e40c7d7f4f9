package org.mimosacleat.lab.bench;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.HdrHistogram.Histogram;

/**
 * Measures what a proxy adds to a statement, against the endpoint behind it in the same run. Direct
 * and proxied phases take turns, so that a slow moment of the machine meets both.
 *
 * <p>The endpoint must allow as many connections as there are clients, besides those of the proxy;
 * with fewer slots than clients, the slots are measured instead of the proxy. The bench creates a
 * table of its own through the direct target.
 */
public final class LoopbackBench {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final Duration WAIT_FOR_REPLICATION = Duration.ofMillis(500);

  private final BenchTarget direct;
  private final BenchTarget proxy;
  private final LoopbackBenchSettings settings;
  private final InstantSource clock;

  /** Measures {@code proxy} against {@code direct}, an endpoint that takes writes. */
  public LoopbackBench(
      BenchTarget direct, BenchTarget proxy, LoopbackBenchSettings settings, InstantSource clock) {
    this.direct = direct;
    this.proxy = proxy;
    this.settings = settings;
    this.clock = clock;
  }

  /** Runs the whole measurement. */
  public LoopbackReport run() throws SQLException, InterruptedException {
    createRow();
    return new LoopbackReport(compareLatency(), compareThroughput());
  }

  private void createRow() throws SQLException, InterruptedException {
    try (Connection connection = direct.connect();
        Statement statement = connection.createStatement()) {
      statement.execute(
          "CREATE TABLE IF NOT EXISTS "
              + BenchClient.TABLE
              + " (id bigint PRIMARY KEY, value text)");
      statement.execute(
          "INSERT INTO "
              + BenchClient.TABLE
              + " (id, value) VALUES ("
              + BenchClient.ROW
              + ", 'value') ON CONFLICT DO NOTHING");
    }
    Thread.sleep(WAIT_FOR_REPLICATION);
  }

  private LatencyComparison compareLatency() throws SQLException {
    Histogram directTimes = new Histogram(SIGNIFICANT_DIGITS);
    Histogram proxiedTimes = new Histogram(SIGNIFICANT_DIGITS);
    try (BenchClient directClient = new BenchClient(direct);
        BenchClient proxiedClient = new BenchClient(proxy)) {
      measure(directClient, settings.warmUpStatements(), new Histogram(SIGNIFICANT_DIGITS));
      measure(proxiedClient, settings.warmUpStatements(), new Histogram(SIGNIFICANT_DIGITS));
      for (int round = 0; round < settings.rounds(); round++) {
        measure(directClient, settings.statementsPerRound(), directTimes);
        measure(proxiedClient, settings.statementsPerRound(), proxiedTimes);
      }
    }
    return new LatencyComparison(directTimes, proxiedTimes);
  }

  private void measure(BenchClient client, int statements, Histogram times) throws SQLException {
    for (int count = 0; count < statements; count++) {
      Instant start = clock.instant();
      client.read();
      times.recordValue(Duration.between(start, clock.instant()).toNanos());
    }
  }

  private ThroughputComparison compareThroughput() throws SQLException, InterruptedException {
    double directRates = 0;
    double proxiedRates = 0;
    try (ClientCrowd directCrowd = new ClientCrowd(direct, settings.clients(), clock);
        ClientCrowd proxiedCrowd = new ClientCrowd(proxy, settings.clients(), clock)) {
      directCrowd.run(settings.warmUpPhase());
      proxiedCrowd.run(settings.warmUpPhase());
      for (int round = 0; round < settings.rounds(); round++) {
        directRates += directCrowd.run(settings.throughputPhase());
        proxiedRates += proxiedCrowd.run(settings.throughputPhase());
      }
    }
    return new ThroughputComparison(
        settings.clients(), directRates / settings.rounds(), proxiedRates / settings.rounds());
  }
}

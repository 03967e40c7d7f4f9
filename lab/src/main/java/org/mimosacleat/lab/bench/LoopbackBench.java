package org.mimosacleat.lab.bench;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.HdrHistogram.Histogram;

/**
 * Measures the overhead of a proxy per statement, compared with its endpoint in the same run.
 * Direct and proxied phases alternate, so that a temporary slowdown of the machine affects both.
 *
 * <p>The endpoint must allow one connection per client in addition to the connections of the proxy.
 * With fewer slots than clients, the result shows the limit on slots instead of the proxy. The
 * benchmark creates its own table through the direct target.
 */
public final class LoopbackBench {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final Duration REPLICATION_WAIT = Duration.ofMillis(500);

  private final BenchTarget direct;
  private final BenchTarget proxy;
  private final LoopbackBenchSettings settings;
  private final InstantSource clock;

  /**
   * Creates a benchmark of {@code proxy} against {@code direct}, an endpoint that accepts writes.
   */
  public LoopbackBench(
      BenchTarget direct, BenchTarget proxy, LoopbackBenchSettings settings, InstantSource clock) {
    this.direct = direct;
    this.proxy = proxy;
    this.settings = settings;
    this.clock = clock;
  }

  /** Measures latency and throughput. */
  public LoopbackReport run() throws SQLException, InterruptedException {
    createTableAndRow();
    return new LoopbackReport(compareLatency(), compareThroughput());
  }

  private void createTableAndRow() throws SQLException, InterruptedException {
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
              + BenchClient.ROW_ID
              + ", 'value') ON CONFLICT DO NOTHING");
    }
    Thread.sleep(REPLICATION_WAIT);
  }

  private LatencyComparison compareLatency() throws SQLException {
    Histogram directRoundTrips = new Histogram(SIGNIFICANT_DIGITS);
    Histogram proxiedRoundTrips = new Histogram(SIGNIFICANT_DIGITS);
    try (BenchClient directClient = new BenchClient(direct);
        BenchClient proxiedClient = new BenchClient(proxy)) {
      recordRoundTrips(
          directClient, settings.warmUpStatements(), new Histogram(SIGNIFICANT_DIGITS));
      recordRoundTrips(
          proxiedClient, settings.warmUpStatements(), new Histogram(SIGNIFICANT_DIGITS));
      for (int round = 0; round < settings.rounds(); round++) {
        recordRoundTrips(directClient, settings.statementsPerRound(), directRoundTrips);
        recordRoundTrips(proxiedClient, settings.statementsPerRound(), proxiedRoundTrips);
      }
    }
    return new LatencyComparison(directRoundTrips, proxiedRoundTrips);
  }

  private void recordRoundTrips(BenchClient client, int statements, Histogram roundTrips)
      throws SQLException {
    for (int count = 0; count < statements; count++) {
      Instant start = clock.instant();
      client.readRow();
      roundTrips.recordValue(Duration.between(start, clock.instant()).toNanos());
    }
  }

  private ThroughputComparison compareThroughput() throws SQLException, InterruptedException {
    double directRateSum = 0;
    double proxiedRateSum = 0;
    try (ConcurrentClients directClients =
            new ConcurrentClients(direct, settings.clients(), clock);
        ConcurrentClients proxiedClients =
            new ConcurrentClients(proxy, settings.clients(), clock)) {
      directClients.measureStatementsPerSecond(settings.warmUpPhase());
      proxiedClients.measureStatementsPerSecond(settings.warmUpPhase());
      for (int round = 0; round < settings.rounds(); round++) {
        directRateSum += directClients.measureStatementsPerSecond(settings.throughputPhase());
        proxiedRateSum += proxiedClients.measureStatementsPerSecond(settings.throughputPhase());
      }
    }
    return new ThroughputComparison(
        settings.clients(), directRateSum / settings.rounds(), proxiedRateSum / settings.rounds());
  }
}

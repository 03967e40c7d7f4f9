package org.mimosacleat.lab.bench;

import java.sql.SQLException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Clients that read from the same target concurrently. */
final class ConcurrentClients implements AutoCloseable {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final List<BenchClient> clients = new ArrayList<>();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final InstantSource clock;

  ConcurrentClients(BenchTarget target, int count, InstantSource clock) throws SQLException {
    this.clock = clock;
    for (int number = 0; number < count; number++) {
      clients.add(new BenchClient(target));
    }
  }

  /** Runs all clients for the duration and returns their total statements per second. */
  double measureStatementsPerSecond(Duration duration) throws SQLException, InterruptedException {
    Instant start = clock.instant();
    Instant end = start.plus(duration);
    List<Callable<Long>> tasks = new ArrayList<>();
    for (BenchClient client : clients) {
      tasks.add(() -> countReadsUntil(client, end));
    }
    long statements = 0;
    for (Future<Long> task : executor.invokeAll(tasks)) {
      statements += resultOf(task);
    }
    Duration elapsed = Duration.between(start, clock.instant());
    return statements * NANOSECONDS_PER_SECOND / elapsed.toNanos();
  }

  @Override
  public void close() throws SQLException {
    executor.shutdownNow();
    for (BenchClient client : clients) {
      client.close();
    }
  }

  private long countReadsUntil(BenchClient client, Instant end) throws SQLException {
    long statements = 0;
    while (clock.instant().isBefore(end)) {
      client.readRow();
      statements++;
    }
    return statements;
  }

  private static long resultOf(Future<Long> task) throws SQLException, InterruptedException {
    try {
      return task.get();
    } catch (ExecutionException e) {
      throw new SQLException(
          "benchmark client failed while reading; the measurement is aborted", e.getCause());
    }
  }
}

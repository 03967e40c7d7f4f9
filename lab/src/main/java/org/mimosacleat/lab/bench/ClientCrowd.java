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

/** Clients of one target that run at the same time. */
final class ClientCrowd implements AutoCloseable {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private final List<BenchClient> clients = new ArrayList<>();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final InstantSource clock;

  ClientCrowd(BenchTarget target, int size, InstantSource clock) throws SQLException {
    this.clock = clock;
    for (int number = 0; number < size; number++) {
      clients.add(new BenchClient(target));
    }
  }

  /** Runs all clients for a while and returns the statements a second. */
  double run(Duration phase) throws SQLException, InterruptedException {
    Instant start = clock.instant();
    Instant end = start.plus(phase);
    List<Callable<Long>> tasks = new ArrayList<>();
    for (BenchClient client : clients) {
      tasks.add(() -> readUntil(client, end));
    }
    long statements = 0;
    for (Future<Long> task : executor.invokeAll(tasks)) {
      statements += resultOf(task);
    }
    Duration taken = Duration.between(start, clock.instant());
    return statements * NANOSECONDS_PER_SECOND / taken.toNanos();
  }

  @Override
  public void close() throws SQLException {
    executor.shutdownNow();
    for (BenchClient client : clients) {
      client.close();
    }
  }

  private long readUntil(BenchClient client, Instant end) throws SQLException {
    long statements = 0;
    while (clock.instant().isBefore(end)) {
      client.read();
      statements++;
    }
    return statements;
  }

  private static long resultOf(Future<Long> task) throws SQLException, InterruptedException {
    try {
      return task.get();
    } catch (ExecutionException failed) {
      throw new SQLException("a client of the measurement failed", failed.getCause());
    }
  }
}

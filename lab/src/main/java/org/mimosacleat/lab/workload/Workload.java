package org.mimosacleat.lab.workload;

import java.sql.SQLException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Runs the requests of one deployment through proxies and verifies their results. It injects no
 * faults itself; to test faults, inject them from another thread during {@link #run}.
 */
public final class Workload {
  private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(1);
  private static final Duration REPLICATION_WAIT = Duration.ofSeconds(1);

  private final WorkloadSettings settings;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Consumer<WorkloadProgress> progressListener;

  /** Creates a workload; {@code progressListener} receives its progress every second. */
  public Workload(
      WorkloadSettings settings,
      InstantSource clock,
      RandomGenerator random,
      Consumer<WorkloadProgress> progressListener) {
    this.settings = settings;
    this.clock = clock;
    this.random = random;
    this.progressListener = progressListener;
  }

  /**
   * Creates the tables, runs all sessions to completion, and compares the stored rows with the
   * outcomes that the clients received.
   *
   * @throws SQLException if the tables can't be created, or can't be read after the run
   */
  public WorkloadReport run() throws SQLException, InterruptedException {
    StoredRows storedRows = new StoredRows(settings);
    storedRows.createTables();
    Thread.sleep(REPLICATION_WAIT);
    Instant start = clock.instant();
    WorkloadMeters meters = new WorkloadMeters(settings, start);
    WriteOracle oracle = new WriteOracle();
    runSessions(start, meters, oracle);
    Duration longestGap = meters.longestGap(start.plus(settings.duration()));
    Violations violations =
        new Verification(storedRows).compare(settings, oracle, meters.staleReads());
    return new WorkloadReport(settings.scenario().name(), meters.reports(), longestGap, violations);
  }

  private void runSessions(Instant start, WorkloadMeters meters, WriteOracle oracle)
      throws InterruptedException {
    Instant end = start.plus(settings.duration());
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      long runId = random.nextLong(Integer.MAX_VALUE);
      for (int number = 0; number < settings.sessions(); number++) {
        String database = settings.databases().get(number % settings.databases().size());
        String session = settings.scenario().name() + "-" + runId + "-" + number;
        RandomGenerator sessionRandom = new SplittableRandom(random.nextLong());
        executor.execute(
            new SessionWorker(
                settings, database, session, meters, oracle, clock, end, sessionRandom));
      }
      executor.shutdown();
      reportProgressUntilDone(executor, start, meters);
    }
  }

  private void reportProgressUntilDone(
      ExecutorService executor, Instant start, WorkloadMeters meters) throws InterruptedException {
    while (!executor.awaitTermination(PROGRESS_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)) {
      List<ActionReport> reports = meters.reports();
      progressListener.accept(
          new WorkloadProgress(
              Duration.between(start, clock.instant()),
              settings.duration(),
              reports.stream().mapToLong(ActionReport::served).sum(),
              reports.stream().mapToLong(ActionReport::refused).sum(),
              reports.stream().mapToLong(ActionReport::unknown).sum()));
    }
  }
}

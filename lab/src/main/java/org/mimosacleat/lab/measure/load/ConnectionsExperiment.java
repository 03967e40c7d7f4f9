package org.mimosacleat.lab.measure.load;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.mimosacleat.core.connection.BorrowDecision;
import org.mimosacleat.core.connection.ConnectionDemandForecast;
import org.mimosacleat.core.connection.ConnectionId;
import org.mimosacleat.core.connection.ConnectionPool;
import org.mimosacleat.core.connection.ConnectionQuota;
import org.mimosacleat.core.connection.ConnectionUse;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.lab.measure.Deployment;
import org.mimosacleat.lab.measure.Experiment;
import org.mimosacleat.lab.measure.Reading;

/**
 * Measures how many of an endpoint's connections serve transactions when most clients connect to a
 * few proxies, and how long a transaction waits for a connection while demand rises.
 */
public final class ConnectionsExperiment implements Experiment {
  private static final int MARGIN = 4;
  private static final int MIN_CONNECTIONS = 2;
  private static final int RUN_MILLISECONDS = 60_000;
  private static final int SWING_PERIOD_MILLISECONDS = 10_000;
  private static final int SWING_MILLISECONDS = 4_000;
  private static final int RISE_MILLISECONDS = 1_000;
  private static final double SWING_PEAK_DEMAND = 0.8;
  private static final double BASE_DEMAND = 0.1;
  private static final double MEAN_TRANSACTION_MILLISECONDS = 20;
  private static final double PROXY_SKEW = 1.5;
  private static final double WAIT_QUANTILE = 0.99;
  private static final ConnectionUse CLEAN_USE =
      new ConnectionUse(TransactionStatus.IDLE, 0, false, false, false);

  /** Creates the experiment. */
  public ConnectionsExperiment() {}

  @Override
  public String name() {
    return "connections";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    Run homeRun = new Run(deployment, seed, 1, true).run();
    Run aheadRun = new Run(deployment, seed, SWING_PEAK_DEMAND, true).run();
    Run onDemandRun = new Run(deployment, seed, SWING_PEAK_DEMAND, false).run();
    double equalSplit = equalSplitUse(deployment, seed);
    return List.of(
        new Reading("connections in use at full demand", "home", "", homeRun.meanInUse(), ""),
        new Reading("connections in use at full demand", "equal split", "", equalSplit, ""),
        new Reading(
            "use over that of an equal split",
            "home",
            "x",
            homeRun.meanInUse() / equalSplit,
            ">= 1.5"),
        new Reading(
            "most connections open",
            "home",
            "",
            homeRun.maxOpen,
            "<= " + deployment.connectionsPerEndpoint()),
        new Reading(
            "p99 wait for a connection in the rise", "opened ahead", "ms", aheadRun.waitP99(), ""),
        new Reading(
            "p99 wait for a connection in the rise",
            "opened on demand",
            "ms",
            onDemandRun.waitP99(),
            ""));
  }

  /**
   * Returns the mean number of connections in use if each proxy has an equal part of them, so that
   * clients of a busy proxy cannot use the part of another.
   */
  private static double equalSplitUse(Deployment deployment, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int proxies = deployment.proxies();
    int connectionsPerProxy = deployment.connectionsPerEndpoint() / proxies;
    long samples = 10_000;
    long used = 0;
    for (int sample = 0; sample < samples; sample++) {
      int[] demand = new int[proxies];
      for (int transaction = 0; transaction < deployment.connectionsPerEndpoint(); transaction++) {
        demand[skewedProxy(random, proxies)]++;
      }
      for (int proxyDemand : demand) {
        used += Math.min(proxyDemand, connectionsPerProxy);
      }
    }
    return (double) used / samples;
  }

  private static int skewedProxy(SplittableRandom random, int proxies) {
    double total = 0;
    for (int rank = 1; rank <= proxies; rank++) {
      total += Math.pow(rank, -PROXY_SKEW);
    }
    double remaining = random.nextDouble() * total;
    for (int rank = 1; rank <= proxies; rank++) {
      remaining -= Math.pow(rank, -PROXY_SKEW);
      if (remaining <= 0) {
        return rank - 1;
      }
    }
    return proxies - 1;
  }

  private record Opening(ConnectionId connection, int readyAt) {}

  private record Borrowing(ConnectionId connection, int endsAt) {}

  private static final class Run {
    private final SplittableRandom random;
    private final PausedClock clock = new PausedClock();
    private final ConnectionQuota quota;
    private final ConnectionPool pool;
    private final int connectMilliseconds;
    private final double fullRate;
    private final boolean openAhead;
    private final Deque<Integer> waiting = new ArrayDeque<>();
    private final List<Opening> openings = new ArrayList<>();
    private final List<Borrowing> borrowings = new ArrayList<>();
    private final List<Integer> waits = new ArrayList<>();
    private int maxOpen;
    private long inUseSum;
    private long samples;

    Run(Deployment deployment, long seed, double peak, boolean openAhead) {
      this.random = new SplittableRandom(seed);
      this.openAhead = openAhead;
      this.connectMilliseconds = (int) deployment.connectTime().toMillis();
      this.quota =
          new ConnectionQuota(
              deployment.connectionsPerEndpoint(), MARGIN, Duration.ofSeconds(1), clock);
      this.pool =
          new ConnectionPool(
              quota,
              new ConnectionDemandForecast(MIN_CONNECTIONS, deployment.connectTime(), clock));
      this.fullRate = peak * deployment.connectionsPerEndpoint() / MEAN_TRANSACTION_MILLISECONDS;
    }

    Run run() {
      for (int now = 0; now < RUN_MILLISECONDS; now++) {
        clock.advance(Duration.ofMillis(1));
        quota.updateLease(clock.instant().plusSeconds(10));
        quota.updateOtherConnections(clock.instant(), 0);
        finishDue(now);
        addArrivals(now);
        borrow(now);
        open(now);
        close();
        sample(now);
      }
      return this;
    }

    double meanInUse() {
      return (double) inUseSum / samples;
    }

    double waitP99() {
      waits.sort(null);
      return waits.get((int) (waits.size() * WAIT_QUANTILE));
    }

    private void finishDue(int now) {
      for (Borrowing borrowing : List.copyOf(borrowings)) {
        if (borrowing.endsAt() <= now) {
          borrowings.remove(borrowing);
          pool.returnConnection(borrowing.connection(), CLEAN_USE);
        }
      }
      for (Opening opening : List.copyOf(openings)) {
        if (opening.readyAt() <= now) {
          openings.remove(opening);
          pool.opened(opening.connection());
        }
      }
    }

    private void addArrivals(int now) {
      double arrivals = fullRate * demand(now);
      int count = (int) arrivals + (random.nextDouble() < arrivals % 1 ? 1 : 0);
      for (int number = 0; number < count; number++) {
        waiting.add(now);
      }
    }

    private void borrow(int now) {
      while (!waiting.isEmpty() && pool.borrow() instanceof BorrowDecision.Borrowed borrowed) {
        int waited = now - waiting.poll();
        if (isRise(now)) {
          waits.add(waited);
        }
        int transactionMilliseconds =
            1 + (int) StragglerWorkload.exponential(random, MEAN_TRANSACTION_MILLISECONDS);
        borrowings.add(new Borrowing(borrowed.connection(), now + transactionMilliseconds));
      }
    }

    private void open(int now) {
      boolean needed = openAhead || waiting.size() > openings.size();
      while (needed) {
        Optional<ConnectionId> next = pool.beginOpen(waiting.size());
        next.ifPresent(id -> openings.add(new Opening(id, now + connectMilliseconds)));
        needed = next.isPresent() && (openAhead || waiting.size() > openings.size());
      }
    }

    private void close() {
      if (openAhead) {
        pool.beginClose().ifPresent(pool::closed);
      } else if (pool.idle() > 0 && waiting.isEmpty()) {
        pool.beginCloseAny().ifPresent(pool::closed);
      }
    }

    private void sample(int now) {
      maxOpen = Math.max(maxOpen, quota.open() + quota.opening());
      int phase = now % SWING_PERIOD_MILLISECONDS;
      if (phase >= RISE_MILLISECONDS && phase < SWING_MILLISECONDS) {
        inUseSum += pool.borrowed();
        samples++;
      }
    }

    private static boolean isRise(int now) {
      return now % SWING_PERIOD_MILLISECONDS < RISE_MILLISECONDS;
    }

    private static double demand(int now) {
      int phase = now % SWING_PERIOD_MILLISECONDS;
      if (phase >= SWING_MILLISECONDS) {
        return BASE_DEMAND;
      }
      return BASE_DEMAND + (1 - BASE_DEMAND) * Math.min(1, phase / (double) RISE_MILLISECONDS);
    }
  }
}

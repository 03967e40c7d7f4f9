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
 * Measures how many of an instance's connections serve transactions when most callers come through
 * a few proxies, and how long a transaction waits for one in a swing of demand.
 */
public final class ConnectionsExperiment implements Experiment {
  private static final int MARGIN = 4;
  private static final int MINIMUM = 2;
  private static final int MILLISECONDS = 60_000;
  private static final int SWING_PERIOD = 10_000;
  private static final int SWING_LENGTH = 4_000;
  private static final int RISE = 1_000;
  private static final double SWING_DEMAND = 0.8;
  private static final double QUIET = 0.1;
  private static final double TRANSACTION_MEAN = 20;
  private static final double SKEW = 1.5;
  private static final double PERCENTILE = 0.99;
  private static final ConnectionUse CLEAN =
      new ConnectionUse(TransactionStatus.IDLE, 0, false, false, false);

  /** Needs nothing. */
  public ConnectionsExperiment() {}

  @Override
  public String name() {
    return "connections";
  }

  @Override
  public List<Reading> run(Deployment deployment, long seed) {
    Run home = new Run(deployment, seed, 1, true).run();
    Run ahead = new Run(deployment, seed, SWING_DEMAND, true).run();
    Run onDemand = new Run(deployment, seed, SWING_DEMAND, false).run();
    double split = splitUse(deployment, seed);
    return List.of(
        new Reading("connections in use at full demand", "home", "", home.meanInUse(), ""),
        new Reading("connections in use at full demand", "equal split", "", split, ""),
        new Reading(
            "use over that of an equal split", "home", "x", home.meanInUse() / split, ">= 1.5"),
        new Reading(
            "most connections open", "home", "", home.mostOpen, "<= " + deployment.connections()),
        new Reading(
            "p99 wait for a connection in the rise", "opened ahead", "ms", ahead.waitP99(), ""),
        new Reading(
            "p99 wait for a connection in the rise",
            "opened on demand",
            "ms",
            onDemand.waitP99(),
            ""));
  }

  /** Each proxy has the same part of the connections, and callers at a busy one cannot use more. */
  private static double splitUse(Deployment deployment, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int proxies = deployment.proxies();
    int part = deployment.connections() / proxies;
    long samples = 10_000;
    long used = 0;
    for (int sample = 0; sample < samples; sample++) {
      int[] demand = new int[proxies];
      for (int transaction = 0; transaction < deployment.connections(); transaction++) {
        demand[skewed(random, proxies)]++;
      }
      for (int wanted : demand) {
        used += Math.min(wanted, part);
      }
    }
    return (double) used / samples;
  }

  private static int skewed(SplittableRandom random, int proxies) {
    double total = 0;
    for (int rank = 1; rank <= proxies; rank++) {
      total += Math.pow(rank, -SKEW);
    }
    double left = random.nextDouble() * total;
    for (int rank = 1; rank <= proxies; rank++) {
      left -= Math.pow(rank, -SKEW);
      if (left <= 0) {
        return rank - 1;
      }
    }
    return proxies - 1;
  }

  private record Opening(ConnectionId connection, int readyAt) {}

  private record Lease(ConnectionId connection, int endsAt) {}

  private static final class Run {
    private final SplittableRandom random;
    private final PausedClock clock = new PausedClock();
    private final ConnectionQuota quota;
    private final ConnectionPool pool;
    private final int connectMilliseconds;
    private final double fullRate;
    private final boolean ahead;
    private final Deque<Integer> waiting = new ArrayDeque<>();
    private final List<Opening> openings = new ArrayList<>();
    private final List<Lease> leases = new ArrayList<>();
    private final List<Integer> waits = new ArrayList<>();
    private int mostOpen;
    private long inUse;
    private long samples;

    Run(Deployment deployment, long seed, double peak, boolean ahead) {
      this.random = new SplittableRandom(seed);
      this.ahead = ahead;
      this.connectMilliseconds = (int) deployment.connectTime().toMillis();
      this.quota =
          new ConnectionQuota(deployment.connections(), MARGIN, Duration.ofSeconds(1), clock);
      this.pool =
          new ConnectionPool(
              quota, new ConnectionDemandForecast(MINIMUM, deployment.connectTime(), clock));
      this.fullRate = peak * deployment.connections() / TRANSACTION_MEAN;
    }

    Run run() {
      for (int now = 0; now < MILLISECONDS; now++) {
        clock.advance(Duration.ofMillis(1));
        quota.updateLease(clock.instant().plusSeconds(10));
        quota.updateOtherConnections(clock.instant(), 0);
        finish(now);
        arrive(now);
        lend(now);
        open(now);
        close();
        measure(now);
      }
      return this;
    }

    double meanInUse() {
      return (double) inUse / samples;
    }

    double waitP99() {
      waits.sort(null);
      return waits.get((int) (waits.size() * PERCENTILE));
    }

    private void finish(int now) {
      for (Lease lease : List.copyOf(leases)) {
        if (lease.endsAt() <= now) {
          leases.remove(lease);
          pool.returnConnection(lease.connection(), CLEAN);
        }
      }
      for (Opening opening : List.copyOf(openings)) {
        if (opening.readyAt() <= now) {
          openings.remove(opening);
          pool.opened(opening.connection());
        }
      }
    }

    private void arrive(int now) {
      double arrivals = fullRate * demand(now);
      int count = (int) arrivals + (random.nextDouble() < arrivals % 1 ? 1 : 0);
      for (int number = 0; number < count; number++) {
        waiting.add(now);
      }
    }

    private void lend(int now) {
      while (!waiting.isEmpty() && pool.borrow() instanceof BorrowDecision.Borrowed lent) {
        int waited = now - waiting.poll();
        if (isRise(now)) {
          waits.add(waited);
        }
        int lasts = 1 + (int) StragglerWorkload.exponential(random, TRANSACTION_MEAN);
        leases.add(new Lease(lent.connection(), now + lasts));
      }
    }

    private void open(int now) {
      boolean needed = ahead || waiting.size() > openings.size();
      while (needed) {
        Optional<ConnectionId> next = pool.beginOpen(waiting.size());
        next.ifPresent(id -> openings.add(new Opening(id, now + connectMilliseconds)));
        needed = next.isPresent() && (ahead || waiting.size() > openings.size());
      }
    }

    private void close() {
      if (ahead) {
        pool.beginClose().ifPresent(pool::closed);
      } else if (pool.idle() > 0 && waiting.isEmpty()) {
        pool.beginCloseAny().ifPresent(pool::closed);
      }
    }

    private void measure(int now) {
      mostOpen = Math.max(mostOpen, quota.open() + quota.opening());
      int phase = now % SWING_PERIOD;
      if (phase >= RISE && phase < SWING_LENGTH) {
        inUse += pool.borrowed();
        samples++;
      }
    }

    private static boolean isRise(int now) {
      return now % SWING_PERIOD < RISE;
    }

    private static double demand(int now) {
      int phase = now % SWING_PERIOD;
      if (phase >= SWING_LENGTH) {
        return QUIET;
      }
      return QUIET + (1 - QUIET) * Math.min(1, phase / (double) RISE);
    }
  }
}

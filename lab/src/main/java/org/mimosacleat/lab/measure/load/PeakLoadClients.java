package org.mimosacleat.lab.measure.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.schedule.Fingerprint;

/**
 * Clients whose demand rises tenfold within two seconds. A client whose request is refused, or not
 * answered by its deadline, retries up to twice; a request that timed out may still run. All times
 * are in nanoseconds.
 */
final class PeakLoadClients {
  static final long SECOND = 1_000_000_000L;
  static final long PEAK_START = 20 * SECOND;
  static final long PEAK_FULL = PEAK_START + 2 * SECOND;
  static final long PEAK_END = PEAK_FULL + 8 * SECOND;
  static final long END = PEAK_END + 15 * SECOND;
  private static final long SHARE_MARGIN = SECOND;
  private static final double BASE_RELATIVE_LOAD = 0.1;
  private static final long MAX_WAIT = SECOND;
  private static final int MAX_ATTEMPTS = 3;
  private static final double MEAN_RETRY_DELAY = 0.2 * SECOND;
  private static final int FINGERPRINTS = 20;

  /** The customers with their weights and their peak demand as a multiple of all slots. */
  private static final List<PeakLoadCustomer> CUSTOMERS =
      List.of(
          new PeakLoadCustomer(new TeamId("a"), 4, 0.4),
          new PeakLoadCustomer(new TeamId("b"), 2, 0.5),
          new PeakLoadCustomer(new TeamId("c"), 1, 2.0),
          new PeakLoadCustomer(new TeamId("d"), 1, 0.1));

  private final EventQueue events;
  private final SplittableRandom random;
  private final PeakLoadSystem system;
  private final int slots;
  private final Set<Long> openJobs = new HashSet<>();
  private final Map<Long, Integer> attempts = new HashMap<>();
  private final Map<TeamId, Long> offered = new HashMap<>();
  private final Map<TeamId, Long> received = new HashMap<>();
  private long usefulWork;
  private long lastJobId;
  private long requestsAfterPeak;
  private long attemptsAfterPeak;

  PeakLoadClients(EventQueue events, long seed, PeakLoadSystem system, int slots) {
    this.events = events;
    this.random = new SplittableRandom(seed);
    this.system = system;
    this.slots = slots;
  }

  void start() {
    CUSTOMERS.forEach(
        customer -> events.scheduleAfter(randomArrivalInterval(customer), () -> request(customer)));
  }

  /** Records that a job was answered. */
  void recordAnswer(Job job) {
    if (!openJobs.remove(job.id())) {
      return;
    }
    if (events.now() >= PEAK_FULL && events.now() < PEAK_END) {
      usefulWork += job.serviceTime();
    }
    if (isShareCounted(job.arrival())) {
      received.merge(job.customer(), job.serviceTime(), Long::sum);
    }
  }

  /** Records that a job was refused without having run. */
  void recordRefusal(Job job) {
    if (openJobs.remove(job.id())) {
      retry(job);
    }
  }

  /** Returns the share of the slots' time at peak load that was spent on jobs answered in time. */
  double goodputPercent() {
    return 100.0 * usefulWork / (slots * (double) (PEAK_END - PEAK_FULL));
  }

  /**
   * Returns the minimum over all customers of the received part of the due work. The due work is
   * the offered work, at most the guaranteed share.
   */
  double minSharePercent() {
    double minimum = Double.MAX_VALUE;
    for (PeakLoadCustomer customer : CUSTOMERS) {
      double share = customer.guaranteed(CUSTOMERS) * slots * (PEAK_END - SHARE_MARGIN - PEAK_FULL);
      double owed = Math.min(offered.get(customer.id()), share);
      minimum = Math.min(minimum, received.getOrDefault(customer.id(), 0L) / owed);
    }
    return 100 * minimum;
  }

  /** Returns the mean number of attempts per new request in the two seconds after the peak. */
  double attemptsPerRequestAfterPeak() {
    return (double) attemptsAfterPeak / requestsAfterPeak;
  }

  private void request(PeakLoadCustomer customer) {
    boolean afterPeak = isJustAfterPeak();
    requestsAfterPeak += afterPeak ? 1 : 0;
    long serviceTime =
        1 + (long) StragglerWorkload.exponential(random, StragglerWorkload.SHORT_MEAN_NANOSECONDS);
    if (isShareCounted(events.now())) {
      offered.merge(customer.id(), serviceTime, Long::sum);
    }
    attempt(customer, serviceTime, 1);
    events.scheduleAfter(randomArrivalInterval(customer), () -> request(customer));
  }

  private void attempt(PeakLoadCustomer customer, long serviceTime, int attemptNumber) {
    attemptsAfterPeak += isJustAfterPeak() ? 1 : 0;
    Job job =
        new Job(
            ++lastJobId,
            customer.id(),
            customer.weight(),
            new Fingerprint(random.nextInt(FINGERPRINTS)),
            false,
            false,
            events.now(),
            serviceTime,
            events.now() + MAX_WAIT);
    openJobs.add(job.id());
    attempts.put(job.id(), attemptNumber);
    events.scheduleAfter(MAX_WAIT, () -> timeOut(job));
    system.submit(job);
  }

  private void timeOut(Job job) {
    if (openJobs.remove(job.id())) {
      retry(job);
    } else {
      attempts.remove(job.id());
    }
  }

  private void retry(Job job) {
    int attempt = attempts.get(job.id());
    if (attempt >= MAX_ATTEMPTS) {
      return;
    }
    PeakLoadCustomer customer =
        CUSTOMERS.stream().filter(each -> each.id().equals(job.customer())).findFirst().get();
    long delay = (long) (random.nextDouble() * 2 * MEAN_RETRY_DELAY);
    events.scheduleAfter(delay, () -> attempt(customer, job.serviceTime(), attempt + 1));
  }

  private static boolean isShareCounted(long arrival) {
    return arrival >= PEAK_FULL && arrival < PEAK_END - SHARE_MARGIN;
  }

  private boolean isJustAfterPeak() {
    return events.now() >= PEAK_END && events.now() < PEAK_END + 2 * SECOND;
  }

  private long randomArrivalInterval(PeakLoadCustomer customer) {
    double load = customer.peakLoad() * slots * relativeLoad();
    return (long)
        StragglerWorkload.exponential(random, StragglerWorkload.SHORT_MEAN_NANOSECONDS / load);
  }

  private double relativeLoad() {
    long now = events.now();
    if (now < PEAK_START || now >= PEAK_END) {
      return BASE_RELATIVE_LOAD;
    }
    double rise = Math.min(1, (now - PEAK_START) / (double) (PEAK_FULL - PEAK_START));
    return BASE_RELATIVE_LOAD + (1 - BASE_RELATIVE_LOAD) * rise;
  }
}

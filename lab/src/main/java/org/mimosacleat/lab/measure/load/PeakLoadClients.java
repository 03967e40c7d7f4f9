package org.mimosacleat.lab.measure.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.schedule.Fingerprint;

/**
 * Callers whose demand swings by ten within two seconds. A caller that is refused, or that has
 * waited until its deadline, tries again up to twice; what it gave up waiting for may still run.
 */
final class PeakLoadClients {
  static final long SECOND = 1_000_000_000L;
  static final long PEAK_START = 20 * SECOND;
  static final long PEAK_FULL = PEAK_START + 2 * SECOND;
  static final long PEAK_END = PEAK_FULL + 8 * SECOND;
  static final long END = PEAK_END + 15 * SECOND;
  private static final long SHARE_MARGIN = SECOND;
  private static final double BASE = 0.1;
  private static final long PATIENCE = SECOND;
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final double RETRY_PAUSE_MEAN = 0.2 * SECOND;
  private static final int SHAPES = 20;

  /** The customers: shares guaranteed, and load at peak load in relation to all slots. */
  private static final List<PeakLoadCustomer> CUSTOMERS =
      List.of(
          new PeakLoadCustomer(new CustomerId("a"), 4, 0.4),
          new PeakLoadCustomer(new CustomerId("b"), 2, 0.5),
          new PeakLoadCustomer(new CustomerId("c"), 1, 2.0),
          new PeakLoadCustomer(new CustomerId("d"), 1, 0.1));

  private final EventQueue events;
  private final SplittableRandom random;
  private final PeakLoadSystem system;
  private final int slots;
  private final Set<Long> open = new HashSet<>();
  private final Map<Long, Integer> attempts = new HashMap<>();
  private final Map<CustomerId, Long> offered = new HashMap<>();
  private final Map<CustomerId, Long> received = new HashMap<>();
  private long usefulWork;
  private long lastNumber;
  private long requestsAfter;
  private long attemptsAfter;

  PeakLoadClients(EventQueue events, long seed, PeakLoadSystem system, int slots) {
    this.events = events;
    this.random = new SplittableRandom(seed);
    this.system = system;
    this.slots = slots;
  }

  void start() {
    CUSTOMERS.forEach(customer -> events.after(gap(customer), () -> request(customer)));
  }

  /** Takes in that a job has ended with its whole answer. */
  void answered(Job job) {
    if (!open.remove(job.number())) {
      return;
    }
    if (events.now() >= PEAK_FULL && events.now() < PEAK_END) {
      usefulWork += job.service();
    }
    if (isShareCounted(job.arrival())) {
      received.merge(job.customer(), job.service(), Long::sum);
    }
  }

  /** Takes in that a job was refused as not run. */
  void refused(Job job) {
    if (open.remove(job.number())) {
      retry(job);
    }
  }

  /** Returns the share of the slots' time at peak load that was spent on answers in time. */
  double goodputPercent() {
    return 100.0 * usefulWork / (slots * (double) (PEAK_END - PEAK_FULL));
  }

  /** Returns the least that any customer got of what it is guaranteed and asked for. */
  double leastSharePercent() {
    double least = Double.MAX_VALUE;
    for (PeakLoadCustomer customer : CUSTOMERS) {
      double share = customer.guaranteed(CUSTOMERS) * slots * (PEAK_END - SHARE_MARGIN - PEAK_FULL);
      double due = Math.min(offered.get(customer.id()), share);
      least = Math.min(least, received.getOrDefault(customer.id(), 0L) / due);
    }
    return 100 * least;
  }

  /** Returns the attempts for each new request in the two seconds after the peak. */
  double attemptsPerRequestAfterPeak() {
    return (double) attemptsAfter / requestsAfter;
  }

  private void request(PeakLoadCustomer customer) {
    boolean after = justAfterPeak();
    requestsAfter += after ? 1 : 0;
    long service = 1 + (long) StragglerWorkload.exponential(random, StragglerWorkload.SHORT_MEAN);
    if (isShareCounted(events.now())) {
      offered.merge(customer.id(), service, Long::sum);
    }
    attempt(customer, service, 1);
    events.after(gap(customer), () -> request(customer));
  }

  private void attempt(PeakLoadCustomer customer, long service, int number) {
    attemptsAfter += justAfterPeak() ? 1 : 0;
    Job job =
        new Job(
            ++lastNumber,
            customer.id(),
            customer.weight(),
            new Fingerprint(random.nextInt(SHAPES)),
            false,
            false,
            events.now(),
            service,
            events.now() + PATIENCE);
    open.add(job.number());
    attempts.put(job.number(), number);
    events.after(PATIENCE, () -> giveUp(job));
    system.arrive(job);
  }

  private void giveUp(Job job) {
    if (open.remove(job.number())) {
      retry(job);
    } else {
      attempts.remove(job.number());
    }
  }

  private void retry(Job job) {
    int before = attempts.get(job.number());
    if (before >= MAXIMUM_ATTEMPTS) {
      return;
    }
    PeakLoadCustomer customer =
        CUSTOMERS.stream().filter(each -> each.id().equals(job.customer())).findFirst().get();
    long pause = (long) (random.nextDouble() * 2 * RETRY_PAUSE_MEAN);
    events.after(pause, () -> attempt(customer, job.service(), before + 1));
  }

  private static boolean isShareCounted(long arrival) {
    return arrival >= PEAK_FULL && arrival < PEAK_END - SHARE_MARGIN;
  }

  private boolean justAfterPeak() {
    return events.now() >= PEAK_END && events.now() < PEAK_END + 2 * SECOND;
  }

  private long gap(PeakLoadCustomer customer) {
    double load = customer.peakLoad() * slots * swing();
    return (long) StragglerWorkload.exponential(random, StragglerWorkload.SHORT_MEAN / load);
  }

  private double swing() {
    long now = events.now();
    if (now < PEAK_START || now >= PEAK_END) {
      return BASE;
    }
    double risen = Math.min(1, (now - PEAK_START) / (double) (PEAK_FULL - PEAK_START));
    return BASE + (1 - BASE) * risen;
  }
}

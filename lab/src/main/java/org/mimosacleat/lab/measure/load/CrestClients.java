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
final class CrestClients {
  static final long SECOND = 1_000_000_000L;
  static final long CREST_START = 20 * SECOND;
  static final long CREST_FULL = CREST_START + 2 * SECOND;
  static final long CREST_END = CREST_FULL + 8 * SECOND;
  static final long END = CREST_END + 15 * SECOND;
  private static final long SHARE_MARGIN = SECOND;
  private static final double BASE = 0.1;
  private static final long PATIENCE = SECOND;
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final double RETRY_PAUSE_MEAN = 0.2 * SECOND;
  private static final int SHAPES = 20;

  /** The customers: shares guaranteed, and load at the crest in relation to all slots. */
  private static final List<CrestCustomer> CUSTOMERS =
      List.of(
          new CrestCustomer(new CustomerId("a"), 4, 0.4),
          new CrestCustomer(new CustomerId("b"), 2, 0.5),
          new CrestCustomer(new CustomerId("c"), 1, 2.0),
          new CrestCustomer(new CustomerId("d"), 1, 0.1));

  private final EventQueue events;
  private final SplittableRandom random;
  private final CrestSystem system;
  private final int slots;
  private final Set<Long> open = new HashSet<>();
  private final Map<Long, Integer> attempts = new HashMap<>();
  private final Map<CustomerId, Long> offered = new HashMap<>();
  private final Map<CustomerId, Long> received = new HashMap<>();
  private long usefulWork;
  private long lastNumber;
  private long requestsAfter;
  private long attemptsAfter;

  CrestClients(EventQueue events, long seed, CrestSystem system, int slots) {
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
    if (events.now() >= CREST_FULL && events.now() < CREST_END) {
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

  /** Returns the share of the slots' time at the crest that was spent on answers in time. */
  double goodputPercent() {
    return 100.0 * usefulWork / (slots * (double) (CREST_END - CREST_FULL));
  }

  /** Returns the least that any customer got of what it is guaranteed and asked for. */
  double leastSharePercent() {
    double least = Double.MAX_VALUE;
    for (CrestCustomer customer : CUSTOMERS) {
      double share =
          customer.guaranteed(CUSTOMERS) * slots * (CREST_END - SHARE_MARGIN - CREST_FULL);
      double due = Math.min(offered.get(customer.id()), share);
      least = Math.min(least, received.getOrDefault(customer.id(), 0L) / due);
    }
    return 100 * least;
  }

  /** Returns the attempts for each new request in the two seconds after the crest. */
  double attemptsPerRequestAfterCrest() {
    return (double) attemptsAfter / requestsAfter;
  }

  private void request(CrestCustomer customer) {
    boolean after = justAfterCrest();
    requestsAfter += after ? 1 : 0;
    long service = 1 + (long) StragglerWorkload.exponential(random, StragglerWorkload.SHORT_MEAN);
    if (isShareCounted(events.now())) {
      offered.merge(customer.id(), service, Long::sum);
    }
    attempt(customer, service, 1);
    events.after(gap(customer), () -> request(customer));
  }

  private void attempt(CrestCustomer customer, long service, int number) {
    attemptsAfter += justAfterCrest() ? 1 : 0;
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
    CrestCustomer customer =
        CUSTOMERS.stream().filter(each -> each.id().equals(job.customer())).findFirst().get();
    long pause = (long) (random.nextDouble() * 2 * RETRY_PAUSE_MEAN);
    events.after(pause, () -> attempt(customer, job.service(), before + 1));
  }

  private static boolean isShareCounted(long arrival) {
    return arrival >= CREST_FULL && arrival < CREST_END - SHARE_MARGIN;
  }

  private boolean justAfterCrest() {
    return events.now() >= CREST_END && events.now() < CREST_END + 2 * SECOND;
  }

  private long gap(CrestCustomer customer) {
    double load = customer.crestLoad() * slots * swing();
    return (long) StragglerWorkload.exponential(random, StragglerWorkload.SHORT_MEAN / load);
  }

  private double swing() {
    long now = events.now();
    if (now < CREST_START || now >= CREST_END) {
      return BASE;
    }
    double risen = Math.min(1, (now - CREST_START) / (double) (CREST_FULL - CREST_START));
    return BASE + (1 - BASE) * risen;
  }
}

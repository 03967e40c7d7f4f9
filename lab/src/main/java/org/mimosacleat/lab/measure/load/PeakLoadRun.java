package org.mimosacleat.lab.measure.load;

import java.util.Optional;
import org.HdrHistogram.Histogram;

/** Runs one swing of demand through a policy, with or without a fixed limit at each proxy. */
final class PeakLoadRun implements PeakLoadSystem {
  private static final long TICK = 5_000_000;
  private static final int DIGITS = 3;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final EventQueue events;
  private final SlotPolicy policy;
  private final ProxyLimits limits;
  private final PeakLoadClients clients;
  private final int slots;
  private final Histogram refusalDelay = new Histogram(DIGITS);
  private long lastLongQueue;

  PeakLoadRun(EventQueue events, SlotPolicy policy, ProxyLimits limits, int slots, long seed) {
    this.events = events;
    this.policy = policy;
    this.limits = limits;
    this.slots = slots;
    this.clients = new PeakLoadClients(events, seed, this, slots);
  }

  PeakLoadRun run() {
    clients.start();
    events.at(TICK, this::tick);
    events.runUntil(PeakLoadClients.END);
    return this;
  }

  PeakLoadClients clients() {
    return clients;
  }

  /** Returns how long after the peak the queue was last longer than the slots. */
  double recoverySeconds() {
    return Math.max(0, lastLongQueue - PeakLoadClients.PEAK_END) / (double) PeakLoadClients.SECOND;
  }

  /** Returns the longest time from the moment a refusal was certain to its answer. */
  double refusalDelayMilliseconds() {
    return refusalDelay.getMaxValue() / NANOSECONDS_PER_MILLISECOND;
  }

  @Override
  public void arrive(Job job) {
    if (!limits.enter(job)) {
      refuse(job, 0);
      return;
    }
    if (!policy.arrive(job)) {
      limits.leave(job);
      refuse(job, 0);
    }
    startAll();
  }

  private void tick() {
    for (Job job : policy.tick()) {
      limits.leave(job);
      refuse(job, Math.min(events.now() - job.arrival(), TICK));
    }
    startAll();
    if (policy.waiting() > slots) {
      lastLongQueue = events.now();
    }
    events.after(TICK, this::tick);
  }

  private void refuse(Job job, long delay) {
    refusalDelay.recordValue(delay);
    clients.refused(job);
  }

  private void startAll() {
    for (Optional<Job> next = policy.next(); next.isPresent(); next = policy.next()) {
      Job job = next.get();
      events.after(job.service(), () -> end(job));
    }
  }

  private void end(Job job) {
    policy.end(job);
    limits.leave(job);
    clients.answered(job);
    startAll();
  }
}

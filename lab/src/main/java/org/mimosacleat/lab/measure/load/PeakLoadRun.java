package org.mimosacleat.lab.measure.load;

import java.util.Optional;
import org.HdrHistogram.Histogram;

/** Simulates one load peak with a policy, with or without a fixed limit per proxy. */
final class PeakLoadRun implements PeakLoadSystem {
  private static final long TICK_NANOSECONDS = 5_000_000;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final EventQueue events;
  private final SlotPolicy policy;
  private final ProxyLimits limits;
  private final PeakLoadClients clients;
  private final int slots;
  private final Histogram refusalDelay = new Histogram(HISTOGRAM_DIGITS);
  private long lastLongQueueAt;

  PeakLoadRun(EventQueue events, SlotPolicy policy, ProxyLimits limits, int slots, long seed) {
    this.events = events;
    this.policy = policy;
    this.limits = limits;
    this.slots = slots;
    this.clients = new PeakLoadClients(events, seed, this, slots);
  }

  PeakLoadRun run() {
    clients.start();
    events.scheduleAt(TICK_NANOSECONDS, this::tick);
    events.runUntil(PeakLoadClients.END);
    return this;
  }

  PeakLoadClients clients() {
    return clients;
  }

  /** Returns the time after the peak until the queue no longer exceeded the number of slots. */
  double recoverySeconds() {
    return Math.max(0, lastLongQueueAt - PeakLoadClients.PEAK_END)
        / (double) PeakLoadClients.SECOND;
  }

  /** Returns the longest time between a refusal becoming certain and the answer to the client. */
  double refusalDelayMilliseconds() {
    return refusalDelay.getMaxValue() / NANOSECONDS_PER_MILLISECOND;
  }

  @Override
  public void submit(Job job) {
    if (!limits.tryAcquire(job)) {
      refuse(job, 0);
      return;
    }
    if (!policy.submit(job)) {
      limits.release(job);
      refuse(job, 0);
    }
    startAll();
  }

  private void tick() {
    for (Job job : policy.tick()) {
      limits.release(job);
      refuse(job, Math.min(events.now() - job.arrival(), TICK_NANOSECONDS));
    }
    startAll();
    if (policy.waiting() > slots) {
      lastLongQueueAt = events.now();
    }
    events.scheduleAfter(TICK_NANOSECONDS, this::tick);
  }

  private void refuse(Job job, long delay) {
    refusalDelay.recordValue(delay);
    clients.recordRefusal(job);
  }

  private void startAll() {
    for (Optional<Job> next = policy.next(); next.isPresent(); next = policy.next()) {
      Job job = next.get();
      events.scheduleAfter(job.serviceTime(), () -> end(job));
    }
  }

  private void end(Job job) {
    policy.complete(job);
    limits.release(job);
    clients.recordAnswer(job);
    startAll();
  }
}

package org.mimosacleat.lab.measure.load;

import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;

/** Runs jobs through a policy and records how long they took. */
final class SlotRun {
  private static final long TICK = 5_000_000;
  private static final long DRAIN = 300_000_000_000L;
  private static final int DIGITS = 3;
  private static final double PERCENTILE = 99;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final EventQueue events;
  private final SlotPolicy policy;
  private final Histogram shortTotal = new Histogram(DIGITS);
  private final Histogram stragglerWait = new Histogram(DIGITS);
  private long refused;
  private long all;

  SlotRun(EventQueue events, SlotPolicy policy) {
    this.events = events;
    this.policy = policy;
  }

  SlotRun run(List<Job> jobs, long duration) {
    jobs.forEach(job -> events.at(job.arrival(), () -> arrive(job)));
    events.at(TICK, () -> tick(duration));
    events.runUntil(duration + DRAIN);
    return this;
  }

  double shortP99Milliseconds() {
    return shortTotal.getValueAtPercentile(PERCENTILE) / NANOSECONDS_PER_MILLISECOND;
  }

  double stragglerWaitP99Milliseconds() {
    return stragglerWait.getValueAtPercentile(PERCENTILE) / NANOSECONDS_PER_MILLISECOND;
  }

  double stragglerWaitMaximumMilliseconds() {
    return stragglerWait.getMaxValue() / NANOSECONDS_PER_MILLISECOND;
  }

  double refusedPercent() {
    return 100.0 * refused / all;
  }

  private void arrive(Job job) {
    all++;
    if (!policy.arrive(job)) {
      refused++;
    }
    startAll();
  }

  private void tick(long duration) {
    refused += policy.tick().size();
    startAll();
    if (events.now() < duration + DRAIN) {
      events.after(TICK, () -> tick(duration));
    }
  }

  private void startAll() {
    for (Optional<Job> next = policy.next(); next.isPresent(); next = policy.next()) {
      Job job = next.get();
      if (job.straggler()) {
        stragglerWait.recordValue(events.now() - job.arrival());
      }
      events.after(job.service(), () -> end(job));
    }
  }

  private void end(Job job) {
    if (!job.straggler()) {
      shortTotal.recordValue(events.now() - job.arrival());
    }
    policy.end(job);
    startAll();
  }
}

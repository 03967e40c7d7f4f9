package org.mimosacleat.lab.measure.load;

import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;

/** Simulates jobs with a policy and records their latencies and waiting times. */
final class SlotRun {
  private static final long TICK_NANOSECONDS = 5_000_000;
  private static final long DRAIN_NANOSECONDS = 300_000_000_000L;
  private static final int HISTOGRAM_DIGITS = 3;
  private static final double PERCENTILE = 99;
  private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

  private final EventQueue events;
  private final SlotPolicy policy;
  private final Histogram shortLatency = new Histogram(HISTOGRAM_DIGITS);
  private final Histogram stragglerWait = new Histogram(HISTOGRAM_DIGITS);
  private long refused;
  private long total;

  SlotRun(EventQueue events, SlotPolicy policy) {
    this.events = events;
    this.policy = policy;
  }

  SlotRun run(List<Job> jobs, long duration) {
    jobs.forEach(job -> events.scheduleAt(job.arrival(), () -> arrive(job)));
    events.scheduleAt(TICK_NANOSECONDS, () -> tick(duration));
    events.runUntil(duration + DRAIN_NANOSECONDS);
    return this;
  }

  double shortP99Milliseconds() {
    return shortLatency.getValueAtPercentile(PERCENTILE) / NANOSECONDS_PER_MILLISECOND;
  }

  double stragglerWaitP99Milliseconds() {
    return stragglerWait.getValueAtPercentile(PERCENTILE) / NANOSECONDS_PER_MILLISECOND;
  }

  double stragglerWaitMaximumMilliseconds() {
    return stragglerWait.getMaxValue() / NANOSECONDS_PER_MILLISECOND;
  }

  double refusedPercent() {
    return 100.0 * refused / total;
  }

  private void arrive(Job job) {
    total++;
    if (!policy.submit(job)) {
      refused++;
    }
    startAll();
  }

  private void tick(long duration) {
    refused += policy.tick().size();
    startAll();
    if (events.now() < duration + DRAIN_NANOSECONDS) {
      events.scheduleAfter(TICK_NANOSECONDS, () -> tick(duration));
    }
  }

  private void startAll() {
    for (Optional<Job> next = policy.next(); next.isPresent(); next = policy.next()) {
      Job job = next.get();
      if (job.straggler()) {
        stragglerWait.recordValue(events.now() - job.arrival());
      }
      events.scheduleAfter(job.serviceTime(), () -> end(job));
    }
  }

  private void end(Job job) {
    if (!job.straggler()) {
      shortLatency.recordValue(events.now() - job.arrival());
    }
    policy.complete(job);
    startAll();
  }
}

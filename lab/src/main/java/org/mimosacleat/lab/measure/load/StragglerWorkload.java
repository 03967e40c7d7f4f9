package org.mimosacleat.lab.measure.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.schedule.Fingerprint;

/**
 * Makes statements of which a few run 100 times longer than the rest.
 *
 * @param slots statements that all endpoints run at once
 * @param load share of the slots' time that all statements need
 * @param pinnedShare share of the statements that only the primary may serve
 * @param unseenShare share of the statements whose fingerprint was never seen before
 */
record StragglerWorkload(int slots, double load, double pinnedShare, double unseenShare) {
  static final long SHORT_MEAN = 5_000_000;
  private static final double STRAGGLER_SHARE = 0.02;
  private static final long STRAGGLER_FACTOR = 100;
  private static final int SHORT_SHAPES = 20;
  private static final int STRAGGLER_SHAPES = 3;
  private static final long PATIENCE = 120_000_000_000L;
  private static final CustomerId CUSTOMER = new CustomerId("customer");

  /** Returns all statements of a run, in the order of their arrival. */
  List<Job> jobs(long seed, long duration) {
    SplittableRandom random = new SplittableRandom(seed);
    double mean = SHORT_MEAN * (1 - STRAGGLER_SHARE + STRAGGLER_SHARE * STRAGGLER_FACTOR);
    double gap = mean / (slots * load);
    List<Job> jobs = new ArrayList<>();
    long at = 0;
    while (at < duration) {
      at += (long) exponential(random, gap);
      jobs.add(job(random, jobs.size(), at));
    }
    return jobs;
  }

  private Job job(SplittableRandom random, long number, long at) {
    boolean straggler = random.nextDouble() < STRAGGLER_SHARE;
    double mean = straggler ? SHORT_MEAN * STRAGGLER_FACTOR : SHORT_MEAN;
    long service = 1 + (long) exponential(random, mean);
    boolean pinned = random.nextDouble() < pinnedShare;
    long shape = straggler ? -1 - random.nextInt(STRAGGLER_SHAPES) : random.nextInt(SHORT_SHAPES);
    boolean unseen = random.nextDouble() < unseenShare;
    Fingerprint fingerprint = new Fingerprint(unseen ? 1_000_000 + number : shape);
    return new Job(number, CUSTOMER, 1, fingerprint, pinned, straggler, at, service, at + PATIENCE);
  }

  static double exponential(SplittableRandom random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }
}

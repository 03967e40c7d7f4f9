package org.mimosacleat.lab.measure.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.schedule.Fingerprint;

/**
 * Generates statements of which a few, the stragglers, run 100 times longer than the rest.
 *
 * @param slots the number of statements that all endpoints run concurrently
 * @param load the share of the slots' time that all statements need
 * @param pinnedShare the share of the statements that only the primary may serve
 * @param newFingerprintShare the share of the statements with a new fingerprint
 */
record StragglerWorkload(int slots, double load, double pinnedShare, double newFingerprintShare) {
  static final long SHORT_MEAN_NANOSECONDS = 5_000_000;
  private static final double STRAGGLER_SHARE = 0.02;
  private static final long STRAGGLER_FACTOR = 100;
  private static final int SHORT_FINGERPRINTS = 20;
  private static final int STRAGGLER_FINGERPRINTS = 3;
  private static final long MAX_WAIT_NANOSECONDS = 120_000_000_000L;
  private static final TeamId CUSTOMER = new TeamId("customer");

  /** Returns all statements of a run in the order of arrival; the duration is in nanoseconds. */
  List<Job> jobs(long seed, long duration) {
    SplittableRandom random = new SplittableRandom(seed);
    double mean =
        SHORT_MEAN_NANOSECONDS * (1 - STRAGGLER_SHARE + STRAGGLER_SHARE * STRAGGLER_FACTOR);
    double meanInterval = mean / (slots * load);
    List<Job> jobs = new ArrayList<>();
    long arrival = 0;
    while (arrival < duration) {
      arrival += (long) exponential(random, meanInterval);
      jobs.add(job(random, jobs.size(), arrival));
    }
    return jobs;
  }

  private Job job(SplittableRandom random, long id, long arrival) {
    boolean straggler = random.nextDouble() < STRAGGLER_SHARE;
    double mean = straggler ? SHORT_MEAN_NANOSECONDS * STRAGGLER_FACTOR : SHORT_MEAN_NANOSECONDS;
    long serviceTime = 1 + (long) exponential(random, mean);
    boolean pinned = random.nextDouble() < pinnedShare;
    long knownFingerprint =
        straggler
            ? -1 - random.nextInt(STRAGGLER_FINGERPRINTS)
            : random.nextInt(SHORT_FINGERPRINTS);
    boolean isNew = random.nextDouble() < newFingerprintShare;
    Fingerprint fingerprint = new Fingerprint(isNew ? 1_000_000 + id : knownFingerprint);
    return new Job(
        id,
        CUSTOMER,
        1,
        fingerprint,
        pinned,
        straggler,
        arrival,
        serviceTime,
        arrival + MAX_WAIT_NANOSECONDS);
  }

  static double exponential(SplittableRandom random, double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }
}

package org.mimosacleat.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how long statements run, by fingerprint, to tell short statements from long ones.
 *
 * <p>Ask {@link #estimate} before a statement is queued, report each finished run with {@link
 * #record}, and each run that passes {@link #longThresholdNanoseconds} with {@link #stillRunning}.
 * A statement never seen before is expected to run as long as first runs lately did; it is marked
 * as a probe while first runs are too few or too often long. Not safe for several threads: one
 * group's executor owns it.
 */
public final class ServiceTimeEstimator {
  private static final double MEDIAN = 0.5;
  private static final int FIRST_RUNS_NEEDED = 20;
  private static final double FIRST_RUN_DECAY = 0.02;
  private static final double RISKY_LONG_SHARE = 0.05;

  private final EstimatorSettings settings;
  private final DecayingQuantile medianOfAll = new DecayingQuantile(MEDIAN);
  private final Map<Fingerprint, RunTimes> known;
  private final RunTimes firstRuns;
  private long firstRunCount;
  private double longShareOfFirstRuns;

  /** Starts with nothing learned. */
  public ServiceTimeEstimator(EstimatorSettings settings) {
    this.settings = settings;
    this.firstRuns = new RunTimes(settings.quantile());
    this.known = new RecentlyUsed(settings.maximumFingerprints());
  }

  /** Returns what is expected of a statement's run time. */
  public ServiceTimeEstimate estimate(Fingerprint fingerprint) {
    RunTimes runTimes = known.get(fingerprint);
    if (runTimes == null) {
      return firstSight();
    }
    boolean longRunning = runTimes.highNanoseconds() > longThresholdNanoseconds();
    return new ServiceTimeEstimate(runTimes.meanNanoseconds(), longRunning, false);
  }

  /** Takes in the run time of a finished statement. */
  public void record(Fingerprint fingerprint, long nanoseconds) {
    medianOfAll.add(nanoseconds);
    RunTimes runTimes = known.get(fingerprint);
    if (runTimes == null) {
      runTimes = learn(fingerprint);
      recordFirstRun(nanoseconds);
    }
    runTimes.add(nanoseconds);
  }

  /** Takes in that a statement has run this long and has not finished. */
  public void stillRunning(Fingerprint fingerprint, long nanoseconds) {
    RunTimes runTimes = known.get(fingerprint);
    if (runTimes != null) {
      return;
    }
    learn(fingerprint).raiseTo(nanoseconds);
    recordFirstRun(nanoseconds);
  }

  /** Returns the run time past which a statement counts as long, in nanoseconds. */
  public long longThresholdNanoseconds() {
    return (long) (settings.longFactor() * typicalNanoseconds());
  }

  /** Returns how many fingerprints are remembered. */
  public int size() {
    return known.size();
  }

  private long typicalNanoseconds() {
    return medianOfAll.count() < FIRST_RUNS_NEEDED
        ? settings.prior().toNanos()
        : medianOfAll.nanoseconds();
  }

  private ServiceTimeEstimate firstSight() {
    if (firstRunCount < FIRST_RUNS_NEEDED) {
      return new ServiceTimeEstimate(typicalNanoseconds(), false, true);
    }
    boolean longRunning = firstRuns.highNanoseconds() > longThresholdNanoseconds();
    boolean probe = longShareOfFirstRuns > RISKY_LONG_SHARE;
    return new ServiceTimeEstimate(firstRuns.meanNanoseconds(), longRunning, probe);
  }

  private void recordFirstRun(long nanoseconds) {
    firstRunCount++;
    firstRuns.add(nanoseconds);
    double isLong = nanoseconds >= longThresholdNanoseconds() ? 1 : 0;
    longShareOfFirstRuns += FIRST_RUN_DECAY * (isLong - longShareOfFirstRuns);
  }

  private RunTimes learn(Fingerprint fingerprint) {
    RunTimes runTimes = new RunTimes(settings.quantile());
    known.put(fingerprint, runTimes);
    return runTimes;
  }

  private static final class RecentlyUsed extends LinkedHashMap<Fingerprint, RunTimes> {
    private static final long serialVersionUID = 1;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maximum;

    RecentlyUsed(int maximum) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.maximum = maximum;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Fingerprint, RunTimes> eldest) {
      return size() > maximum;
    }
  }
}

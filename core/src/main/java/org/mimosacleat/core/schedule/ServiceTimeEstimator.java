package org.mimosacleat.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns the run times of statements by fingerprint, to distinguish short from long statements.
 *
 * <p>Call {@link #estimate} before queueing a statement, {@link #record} for each finished run, and
 * {@link #recordStillRunning} for each run that exceeds {@link #longThresholdNanoseconds}. A
 * statement with an unknown fingerprint is expected to run as long as recent first runs. It is
 * marked as a probe while there are too few first runs or too many of them are long. Not
 * thread-safe: used only by the executor of one group.
 */
public final class ServiceTimeEstimator {
  private static final double MEDIAN = 0.5;
  private static final int MIN_SAMPLES = 20;
  private static final double FIRST_RUN_WEIGHT = 0.02;
  private static final double MAX_LONG_SHARE_WITHOUT_PROBES = 0.05;

  private final EstimatorSettings settings;
  private final DecayingQuantile medianOfAll = new DecayingQuantile(MEDIAN);
  private final Map<Fingerprint, RunTimes> runTimesByFingerprint;
  private final RunTimes firstRuns;
  private long firstRunCount;
  private double longShareOfFirstRuns;

  /** Creates an estimator without recorded runs. */
  public ServiceTimeEstimator(EstimatorSettings settings) {
    this.settings = settings;
    this.firstRuns = new RunTimes(settings.quantile());
    this.runTimesByFingerprint = new LruMap(settings.maximumFingerprints());
  }

  /** Returns the estimated run time of a statement. */
  public ServiceTimeEstimate estimate(Fingerprint fingerprint) {
    RunTimes runTimes = runTimesByFingerprint.get(fingerprint);
    if (runTimes == null) {
      return estimateUnknown();
    }
    boolean longRunning = runTimes.highNanoseconds() > longThresholdNanoseconds();
    return new ServiceTimeEstimate(runTimes.meanNanoseconds(), longRunning, false);
  }

  /** Records the run time of a finished statement. */
  public void record(Fingerprint fingerprint, long nanoseconds) {
    medianOfAll.add(nanoseconds);
    RunTimes runTimes = runTimesByFingerprint.get(fingerprint);
    if (runTimes == null) {
      runTimes = addFingerprint(fingerprint);
      recordFirstRun(nanoseconds);
    }
    runTimes.add(nanoseconds);
  }

  /** Records that a statement has run this long and has not finished. */
  public void recordStillRunning(Fingerprint fingerprint, long nanoseconds) {
    RunTimes runTimes = runTimesByFingerprint.get(fingerprint);
    if (runTimes != null) {
      return;
    }
    addFingerprint(fingerprint).raiseTo(nanoseconds);
    recordFirstRun(nanoseconds);
  }

  /** Returns the run time above which a statement counts as long, in nanoseconds. */
  public long longThresholdNanoseconds() {
    return (long) (settings.longFactor() * medianOrPriorNanoseconds());
  }

  /** Returns the number of known fingerprints. */
  public int size() {
    return runTimesByFingerprint.size();
  }

  private long medianOrPriorNanoseconds() {
    return medianOfAll.count() < MIN_SAMPLES
        ? settings.prior().toNanos()
        : medianOfAll.nanoseconds();
  }

  private ServiceTimeEstimate estimateUnknown() {
    if (firstRunCount < MIN_SAMPLES) {
      return new ServiceTimeEstimate(medianOrPriorNanoseconds(), false, true);
    }
    boolean longRunning = firstRuns.highNanoseconds() > longThresholdNanoseconds();
    boolean probe = longShareOfFirstRuns > MAX_LONG_SHARE_WITHOUT_PROBES;
    return new ServiceTimeEstimate(firstRuns.meanNanoseconds(), longRunning, probe);
  }

  private void recordFirstRun(long nanoseconds) {
    firstRunCount++;
    firstRuns.add(nanoseconds);
    double longIndicator = nanoseconds >= longThresholdNanoseconds() ? 1 : 0;
    longShareOfFirstRuns += FIRST_RUN_WEIGHT * (longIndicator - longShareOfFirstRuns);
  }

  private RunTimes addFingerprint(Fingerprint fingerprint) {
    RunTimes runTimes = new RunTimes(settings.quantile());
    runTimesByFingerprint.put(fingerprint, runTimes);
    return runTimes;
  }

  private static final class LruMap extends LinkedHashMap<Fingerprint, RunTimes> {
    private static final long serialVersionUID = 1;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    LruMap(int maxEntries) {
      super(INITIAL_CAPACITY, LOAD_FACTOR, true);
      this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Fingerprint, RunTimes> eldest) {
      return size() > maxEntries;
    }
  }
}

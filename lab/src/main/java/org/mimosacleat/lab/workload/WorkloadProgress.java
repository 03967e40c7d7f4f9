package org.mimosacleat.lab.workload;

import java.time.Duration;

/**
 * The progress of a running workload.
 *
 * @param elapsed the time since its start
 * @param duration the duration of the entire run
 * @param served the number of requests that were answered
 * @param refused the number of requests that definitely did not run
 * @param unknown the number of requests that may have run
 */
public record WorkloadProgress(
    Duration elapsed, Duration duration, long served, long refused, long unknown) {}

package org.mimosacleat.lab.workload;

import java.time.Duration;

/**
 * Where a running workload stands.
 *
 * @param elapsed since its start
 * @param duration of the whole run
 * @param served requests
 * @param refused requests
 * @param unknown requests whose outcome is not known
 */
public record WorkloadProgress(
    Duration elapsed, Duration duration, long served, long refused, long unknown) {}

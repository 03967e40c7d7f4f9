package org.mimosacleat.lab.workload;

import java.time.Duration;

/**
 * How the requests of one action ended.
 *
 * @param name the action
 * @param served requests that were answered
 * @param refused requests that certainly did not run
 * @param unknown requests that may have run
 * @param median the median time of the served
 * @param percentile99 the 99th percentile of the served
 */
public record ActionReport(
    String name, long served, long refused, long unknown, Duration median, Duration percentile99) {}

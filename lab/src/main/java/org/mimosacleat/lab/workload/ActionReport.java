package org.mimosacleat.lab.workload;

import java.time.Duration;

/**
 * The outcomes and response times of the requests of one action.
 *
 * @param name the name of the action
 * @param served requests that were answered
 * @param refused requests that definitely did not run
 * @param unknown requests that may have run
 * @param median the median response time of served requests
 * @param percentile99 the 99th percentile of the response time of served requests
 */
public record ActionReport(
    String name, long served, long refused, long unknown, Duration median, Duration percentile99) {}

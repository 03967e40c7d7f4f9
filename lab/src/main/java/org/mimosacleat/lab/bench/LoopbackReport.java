package org.mimosacleat.lab.bench;

/**
 * What a loopback measurement found.
 *
 * @param latency the round trips of one client
 * @param throughput the rate of many clients
 */
public record LoopbackReport(LatencyComparison latency, ThroughputComparison throughput) {}

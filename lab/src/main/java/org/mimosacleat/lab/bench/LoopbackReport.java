package org.mimosacleat.lab.bench;

/**
 * The results of a loopback measurement.
 *
 * @param latency the round-trip times of a single client
 * @param throughput the statement rates of concurrent clients
 */
public record LoopbackReport(LatencyComparison latency, ThroughputComparison throughput) {}

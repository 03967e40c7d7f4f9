/**
 * Benchmarks of the proxy's overhead on loopback: latency and throughput compared with a direct
 * connection to the endpoint in the same run, and resident memory per idle connection.
 */
package org.mimosacleat.lab.bench;

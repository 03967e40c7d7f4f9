package org.mimosacleat.lab.bench;

/**
 * The resident memory of a process at a number of open connections.
 *
 * @param connections the number of open connections
 * @param residentBytes resident memory of the measured process, in bytes
 */
public record MemoryReading(int connections, long residentBytes) {}

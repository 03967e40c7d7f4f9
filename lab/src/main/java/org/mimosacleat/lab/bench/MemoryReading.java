package org.mimosacleat.lab.bench;

/**
 * Resident memory with some connections open.
 *
 * @param connections open connections
 * @param residentBytes resident memory of the measured process, in bytes
 */
public record MemoryReading(int connections, long residentBytes) {}

package org.mimosacleat.core.schedule;

/**
 * The estimated run time of one statement.
 *
 * @param expectedNanoseconds the decaying mean of the run time, in nanoseconds
 * @param longRunning whether the statement is expected to occupy its slot much longer than most
 * @param probe whether too little is known to run several such statements concurrently
 */
public record ServiceTimeEstimate(long expectedNanoseconds, boolean longRunning, boolean probe) {}

package org.mimosacleat.core.schedule;

/**
 * What is expected of the run time of one statement.
 *
 * @param expectedNanoseconds the decaying mean of the run time, in nanoseconds
 * @param longRunning whether the statement is expected to hold its slot much longer than most
 * @param probe whether too little is known to let several of its kind run at once
 */
public record ServiceTimeEstimate(long expectedNanoseconds, boolean longRunning, boolean probe) {}

package org.mimosacleat.lab.measure.load;

import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.schedule.Fingerprint;

/**
 * A simulated statement.
 *
 * @param id unique within a run
 * @param customer the customer that sends the statement
 * @param weight the customer's weight
 * @param fingerprint the fingerprint of the statement
 * @param pinned whether only the primary may serve it
 * @param straggler whether it runs 100 times longer than the rest
 * @param arrival the arrival time, in nanoseconds
 * @param serviceTime the execution time, in nanoseconds
 * @param deadline the time at which the client stops waiting, in nanoseconds
 */
record Job(
    long id,
    TeamId customer,
    double weight,
    Fingerprint fingerprint,
    boolean pinned,
    boolean straggler,
    long arrival,
    long serviceTime,
    long deadline) {}

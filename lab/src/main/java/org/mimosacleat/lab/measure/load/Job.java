package org.mimosacleat.lab.measure.load;

import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.schedule.Fingerprint;

/**
 * One statement of an experiment.
 *
 * @param number unique in its run
 * @param customer whose it is
 * @param weight the customer's weight
 * @param fingerprint its shape
 * @param pinned whether only the primary may serve it
 * @param straggler whether it runs 100 times longer than the rest
 * @param arrival when it arrives, in nanoseconds
 * @param service how long it runs, in nanoseconds
 * @param deadline when its caller gives up, in nanoseconds
 */
record Job(
    long number,
    CustomerId customer,
    double weight,
    Fingerprint fingerprint,
    boolean pinned,
    boolean straggler,
    long arrival,
    long service,
    long deadline) {}

package org.mimosacleat.lab.measure.failover;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The effects of one loss of a primary.
 *
 * @param gap the time from the loss to the first acknowledged write of a later term, if any
 * @param promotions the number of promotions
 * @param lostIfPrimaryOnly the number of writes that the primary committed and answered, but that
 *     are missing on the next primary
 * @param lostAcknowledged the number of writes missing on the next primary although they were
 *     acknowledged after a replica had them
 * @param acknowledgementDelays the latency that waiting for a replica added to each write before
 *     the loss
 */
record FailoverResult(
    Optional<Duration> gap,
    int promotions,
    long lostIfPrimaryOnly,
    long lostAcknowledged,
    List<Duration> acknowledgementDelays) {}

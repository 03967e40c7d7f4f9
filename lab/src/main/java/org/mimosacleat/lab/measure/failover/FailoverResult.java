package org.mimosacleat.lab.measure.failover;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What one loss of a primary cost.
 *
 * @param gap from the loss to the first acknowledged write of a later term, if there was one
 * @param promotions endpoints that were promoted
 * @param lostIfPrimaryOnly writes that the primary committed and answered, but that the next
 *     primary does not have
 * @param lostAcknowledged the same of writes that were acknowledged after a replica had them
 * @param added what the wait for a replica added to each write before the loss
 */
record FailoverResult(
    Optional<Duration> gap,
    int promotions,
    long lostIfPrimaryOnly,
    long lostAcknowledged,
    List<Duration> added) {}

package org.mimosacleat.proxy.home;

import org.mimosacleat.core.acknowledgement.PollResponse;

/**
 * The status that an endpoint reports.
 *
 * @param answer its log positions and terms
 * @param isPrimary whether it runs as a primary, even if it is not the primary of the current term
 */
record EndpointStatus(PollResponse answer, boolean isPrimary) {}

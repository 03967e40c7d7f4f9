package org.mimosacleat.proxy.home;

import org.mimosacleat.core.acknowledgement.PollResponse;

/**
 * What an endpoint says of itself.
 *
 * @param answer its positions and terms
 * @param isPrimary whether it runs as a primary, rightly or not
 */
record EndpointStatus(PollResponse answer, boolean isPrimary) {}

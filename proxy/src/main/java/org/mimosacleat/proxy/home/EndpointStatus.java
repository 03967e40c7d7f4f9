package org.mimosacleat.proxy.home;

import org.mimosacleat.core.acknowledgement.PollAnswer;

/**
 * What an endpoint says of itself.
 *
 * @param answer its positions and terms
 * @param isPrimary whether it runs as a primary, rightly or not
 */
record EndpointStatus(PollAnswer answer, boolean isPrimary) {}

package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.EndpointRole;

/**
 * Status that an endpoint reports about itself.
 *
 * @param role the role that the endpoint assumes
 * @param term the latest term known to the endpoint
 * @param received the end of its log
 */
public record EndpointStatus(EndpointRole role, Term term, Position received) {}

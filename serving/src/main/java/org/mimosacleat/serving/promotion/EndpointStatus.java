package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.EndpointRole;

/**
 * What an endpoint answers about itself.
 *
 * @param role what it takes itself for
 * @param term the newest term that it knows
 * @param received the end of its log
 */
public record EndpointStatus(EndpointRole role, Term term, Position received) {}

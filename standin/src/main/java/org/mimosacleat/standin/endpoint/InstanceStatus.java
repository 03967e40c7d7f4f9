package org.mimosacleat.standin.endpoint;

import java.util.Optional;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * The state of one instance, read at one moment.
 *
 * @param replica whether it is a replica
 * @param received the last position received in the term of {@code replayed}
 * @param replayed the position that reads see
 * @param fence the fence term, if it was ever set
 */
record InstanceStatus(
    boolean replica, Position received, Position replayed, Optional<Term> fence) {}

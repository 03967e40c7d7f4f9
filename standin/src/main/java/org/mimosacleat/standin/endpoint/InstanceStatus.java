package org.mimosacleat.standin.endpoint;

import java.util.Optional;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * A consistent snapshot of the state of one instance.
 *
 * @param replica whether the instance is a replica
 * @param received the last position received up to the term of {@code replayed}
 * @param replayed the position up to which reads see the data
 * @param fence the fence term, or empty if none has been set
 */
record InstanceStatus(
    boolean replica, Position received, Position replayed, Optional<Term> fence) {}

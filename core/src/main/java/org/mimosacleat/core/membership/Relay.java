package org.mimosacleat.core.membership;

import java.time.Instant;
import org.mimosacleat.core.id.VmId;

/**
 * A ping sent for another VM.
 *
 * @param origin the VM that asked for help
 * @param sequence the sequence to acknowledge to it
 * @param sentAt when the target was pinged
 */
record Relay(VmId origin, long sequence, Instant sentAt) {}

package org.mimosacleat.core.membership;

import java.time.Instant;
import org.mimosacleat.core.id.VmId;

/**
 * A ping that has not been acknowledged yet.
 *
 * @param target the VM that was pinged
 * @param sentAt when it was pinged
 * @param indirectPingsSent whether helpers were asked to ping it as well
 */
record Probe(VmId target, Instant sentAt, boolean indirectPingsSent) {}

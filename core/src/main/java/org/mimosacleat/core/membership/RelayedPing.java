package org.mimosacleat.core.membership;

import java.time.Instant;
import org.mimosacleat.core.id.VmId;

/**
 * A ping that this VM sent as a helper on behalf of another VM.
 *
 * @param requester the VM that sent the indirect ping
 * @param requesterSequence the sequence of that indirect ping
 * @param sentAt when the target was pinged
 */
record RelayedPing(VmId requester, long requesterSequence, Instant sentAt) {}

package org.mimosacleat.proxy.home;

import java.util.Optional;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.proxy.endpoint.EndpointReply;

/**
 * A batch that was answered.
 *
 * @param reply the endpoint's answer
 * @param position the primary's position after the batch, if it was asked for
 */
record BatchResult(EndpointReply reply, Optional<LogPosition> position) {}

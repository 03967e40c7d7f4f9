package org.mimosacleat.proxy.home;

import java.util.Optional;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.proxy.endpoint.EndpointReply;

/**
 * The result of a batch that the endpoint answered.
 *
 * @param reply the endpoint's reply
 * @param position the primary's log position after the batch, if it was queried
 */
record BatchResult(EndpointReply reply, Optional<LogPosition> position) {}

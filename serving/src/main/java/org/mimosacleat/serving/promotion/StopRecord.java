package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/**
 * States that a proxy has stopped using the primary that a replacement round replaces.
 *
 * @param group the group
 * @param proxy the proxy
 * @param round the round of the replacement
 * @param fenced whether the proxy reached the primary and fenced it
 */
public record StopRecord(GroupId group, VmId proxy, long round, boolean fenced) {}

package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.version.StoreEra;

/**
 * States that a proxy has stopped using the primary that a replacement round replaces.
 *
 * @param group the group
 * @param proxy the proxy
 * @param era the era of the claim that this confirms; rounds may be counted again in a later one
 * @param round the round of the replacement
 * @param fenced whether the proxy reached the primary and fenced it
 */
public record StopRecord(GroupId group, VmId proxy, StoreEra era, long round, boolean fenced) {
  /** Returns whether this confirms a claim. */
  boolean confirms(RecordedPrimary claim) {
    return era.equals(claim.version().era()) && round == claim.record().round();
  }
}

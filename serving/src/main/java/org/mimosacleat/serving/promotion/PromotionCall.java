package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** Orders the promotion of an endpoint. */
public interface PromotionCall {
  /** What became of an order. */
  enum Result {
    /** It was taken; the endpoint leads soon. */
    TAKEN,
    /** It was not taken; it may be sent again. */
    NOT_TAKEN,
    /** The endpoint cannot be promoted. */
    REFUSED,
    /** It may have been taken. */
    UNCERTAIN
  }

  /**
   * Orders a promotion.
   *
   * @param token grows with each holder, so that a late order of an earlier one can be told
   */
  Result promote(GroupId group, EndpointId endpoint, VmId holder, long token);
}

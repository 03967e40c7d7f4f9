package org.mimosacleat.serving.promotion;

import java.util.function.BooleanSupplier;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** Requests the promotion of an endpoint. */
public interface PromotionClient {
  /** The outcome of a promotion request. */
  enum Result {
    /** The request was accepted; the endpoint is about to become primary. */
    TAKEN,
    /** The request was not accepted; it may be repeated. */
    NOT_TAKEN,
    /** The endpoint cannot be promoted. */
    REFUSED,
    /** The request may have been accepted. */
    UNCERTAIN
  }

  /**
   * Requests a promotion.
   *
   * @param token grows with each claim, so that a late request of an earlier holder can be detected
   * @param maySend asked directly before the request is sent; if it may not be sent any longer, the
   *     result is {@link Result#NOT_TAKEN}
   */
  Result promote(
      GroupId group, EndpointId endpoint, VmId holder, long token, BooleanSupplier maySend);
}

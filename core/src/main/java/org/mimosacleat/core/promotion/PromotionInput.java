package org.mimosacleat.core.promotion;

import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/** An event that a {@link PromotionStateMachine} processes. */
public sealed interface PromotionInput {
  /**
   * This VM has become the home of the group.
   *
   * @param row the row of the group, read after the lease was gained
   */
  record LeaseGained(GroupRow row) implements PromotionInput {}

  /** This VM is no longer the home. */
  record LeaseLost() implements PromotionInput {}

  /** An endpoint answered a poll. */
  record PollAnswered(PollResponse response) implements PromotionInput {}

  /** An endpoint did not answer a poll in time, or refused the connection. */
  record PollFailed(EndpointId endpoint) implements PromotionInput {}

  /**
   * A peer tried to reach the primary, as requested by {@link PromotionAction.RequestPeerEvidence}.
   *
   * @param zone the availability zone of the peer
   * @param round the round of the request
   * @param reachable whether the primary answered the peer
   */
  record EvidenceReceived(AvailabilityZone zone, long round, boolean reachable)
      implements PromotionInput {}

  /** The table service confirmed that the write took effect. */
  record RowWritten(RowVersion version) implements PromotionInput {}

  /** The table service refused the write because its condition did not hold. */
  record RowRefused(RowVersion version) implements PromotionInput {}

  /** The table service returned the row. */
  record RowRead(GroupRow row) implements PromotionInput {}

  /**
   * An endpoint answered a fence request.
   *
   * @param endpoint the endpoint
   * @param asked the requested term
   * @param fencedAt the highest term it is fenced at; later than {@code asked} if the request was
   *     refused
   * @param received the position up to which it has stored the log, after the fence took effect
   */
  record FenceAnswered(EndpointId endpoint, Term asked, Term fencedAt, Position received)
      implements PromotionInput {}

  /**
   * An endpoint was promoted.
   *
   * @param endpoint the endpoint
   * @param start the first position of its term
   */
  record PromoteAnswered(EndpointId endpoint, Position start) implements PromotionInput {}

  /** A promotion failed, or its outcome is unknown. */
  record PromoteFailed(EndpointId endpoint, Term term) implements PromotionInput {}

  /** The platform lists the endpoint as leaving. */
  record EndpointDraining(EndpointId endpoint) implements PromotionInput {}

  /** Time has passed; to be passed in at least once per retry interval. */
  record Tick() implements PromotionInput {}
}

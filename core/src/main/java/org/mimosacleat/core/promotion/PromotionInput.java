package org.mimosacleat.core.promotion;

import org.mimosacleat.core.acknowledgement.PollAnswer;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/** What a {@link PromotionMachine} is told. */
public sealed interface PromotionInput {
  /**
   * This VM has become the home of the group.
   *
   * @param row the row of the group, read after that
   */
  record LeaseGained(GroupRow row) implements PromotionInput {}

  /** This VM is not the home any more. */
  record LeaseLost() implements PromotionInput {}

  /** An endpoint answered a poll. */
  record PollAnswered(PollAnswer answer) implements PromotionInput {}

  /** An endpoint left a poll unanswered, or refused the connection. */
  record PollFailed(EndpointId endpoint) implements PromotionInput {}

  /**
   * A peer tried to reach an endpoint because it was asked to.
   *
   * @param zone where the peer runs
   * @param round the round of the question
   * @param reachable whether the endpoint answered it
   */
  record EvidenceReceived(AvailabilityZone zone, long round, boolean reachable)
      implements PromotionInput {}

  /** The table service answered: the write took effect. */
  record RowWritten(RowVersion version) implements PromotionInput {}

  /** The table service answered: the condition of the write did not hold. */
  record RowRefused(RowVersion version) implements PromotionInput {}

  /** The table service answered a read. */
  record RowRead(GroupRow row) implements PromotionInput {}

  /**
   * An endpoint answered a fence.
   *
   * @param endpoint the endpoint
   * @param asked the term that was asked for
   * @param fencedAt the highest term it is fenced at; later than {@code asked} if it refused
   * @param received the position up to which it holds the log, after the fence took effect
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

  /** An endpoint could not be promoted, or it is not known whether it was. */
  record PromoteFailed(EndpointId endpoint, Term term) implements PromotionInput {}

  /** The platform lists an endpoint as leaving. */
  record EndpointLeaving(EndpointId endpoint) implements PromotionInput {}

  /** Time has passed; to be given at least once a retry interval. */
  record Tick() implements PromotionInput {}
}

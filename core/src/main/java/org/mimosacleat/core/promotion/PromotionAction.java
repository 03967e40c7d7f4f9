package org.mimosacleat.core.promotion;

import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * An action that a {@link PromotionStateMachine} requests. The actions of one step are executed in
 * order. A request that gets no answer needs no input, because the state machine sends it again.
 */
public sealed interface PromotionAction {
  /** Poll the endpoint now. */
  record Poll(EndpointId endpoint) implements PromotionAction {}

  /** Request peers in the other availability zones to try to reach the endpoint. */
  record RequestPeerEvidence(EndpointId endpoint, long round) implements PromotionAction {}

  /** Offer to hand the home over to a peer in a zone that still reaches the primary. */
  record OfferHome(AvailabilityZone zone) implements PromotionAction {}

  /**
   * Write the row if its version is still the expected one.
   *
   * @param row the new row
   * @param expected the version that the stored row must have
   */
  record WriteRow(GroupRow row, RowVersion expected) implements PromotionAction {}

  /** Read the row. */
  record ReadRow() implements PromotionAction {}

  /**
   * Make the endpoint refuse every earlier term: it stops writing, sending and receiving log of
   * those terms, rolls back open transactions, and keeps the fence across restarts.
   */
  record Fence(EndpointId endpoint, Term term) implements PromotionAction {}

  /**
   * End the service of this home: its lease had expired, and the state machine has stopped. It goes
   * on with the next {@link PromotionInput.LeaseGained}, also if the lease has been renewed since.
   */
  record EndService() implements PromotionAction {}

  /** Stop serving and stop acknowledging pending writes until a primary is announced. */
  record SuspendService(Term term) implements PromotionAction {}

  /** Fail the pending writes of earlier terms; comes before the promotion of the new primary. */
  record StartTerm(TermMembership membership) implements PromotionAction {}

  /** Make the endpoint the primary of the term; it refuses if it is fenced at a later term. */
  record Promote(EndpointId endpoint, Term term) implements PromotionAction {}

  /**
   * Make the endpoint follow the primary, after rewinding its log to the point where the two
   * diverge. Its received position then has the new term, even if nothing is written.
   */
  record Follow(EndpointId endpoint, EndpointId primary, Term term) implements PromotionAction {}

  /**
   * Serve with this primary and notify the peers.
   *
   * @param membership the term and its primary
   * @param position the start of the term after a promotion, or the position of the primary after a
   *     change of home; it includes every write acknowledged earlier
   */
  record AnnouncePrimary(TermMembership membership, Position position) implements PromotionAction {}

  /** Log a decision and its reason. */
  record LogDecision(String explanation) implements PromotionAction {}
}

package org.mimosacleat.core.promotion;

import org.mimosacleat.core.acknowledgement.Reign;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * What a {@link PromotionMachine} asks for. Actions of one step are carried out in their order; a
 * question that gets no answer needs no input, because the machine asks again.
 */
public sealed interface PromotionAction {
  /** Poll the endpoint now. */
  record Poll(EndpointId endpoint) implements PromotionAction {}

  /** Ask peers in the other availability zones to try to reach the endpoint. */
  record AskPeers(EndpointId endpoint, long round) implements PromotionAction {}

  /** Offer the home to a peer in a zone that still reaches the primary. */
  record OfferHome(AvailabilityZone zone) implements PromotionAction {}

  /**
   * Write the row if its version is still the expected one.
   *
   * @param row the new row
   * @param expected the version to find
   */
  record WriteRow(GroupRow row, RowVersion expected) implements PromotionAction {}

  /** Read the row. */
  record ReadRow() implements PromotionAction {}

  /**
   * Make the endpoint refuse every earlier term: it stops writing, sending and taking log of them,
   * rolls back what is open, and keeps the fence over a restart.
   */
  record Fence(EndpointId endpoint, Term term) implements PromotionAction {}

  /** Stop to serve, and to acknowledge the writes that wait, until a primary is announced. */
  record Withdraw(Term term) implements PromotionAction {}

  /** Fail the writes that wait for an earlier term; follows before the promotion of its primary. */
  record StartTerm(Reign reign) implements PromotionAction {}

  /** Make the endpoint the primary of the term; it refuses if a later term has fenced it. */
  record Promote(EndpointId endpoint, Term term) implements PromotionAction {}

  /**
   * Make the endpoint follow the primary, after a rewind where its log differs. It then shows the
   * term in its received position, even if nothing is written.
   */
  record Follow(EndpointId endpoint, EndpointId primary, Term term) implements PromotionAction {}

  /**
   * Serve with this primary, and tell the peers.
   *
   * @param reign the term and its primary
   * @param position for a new term its start, for a new home the position of the primary; every
   *     write acknowledged earlier is included
   */
  record Announce(Reign reign, Position position) implements PromotionAction {}

  /** Log what was decided and why. */
  record Explain(String explanation) implements PromotionAction {}
}

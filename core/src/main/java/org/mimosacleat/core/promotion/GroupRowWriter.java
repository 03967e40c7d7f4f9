package org.mimosacleat.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;

/**
 * Writes the row of the group conditionally, one write at a time. If a write gets no answer, its
 * outcome is determined by reading the row back.
 */
final class GroupRowWriter {
  private final VmId self;
  private final RandomGenerator random;
  private final PromotionSettings settings;
  private final Term firstUnusedTerm;
  private GroupRow current;
  private boolean hasReservation;
  private Optional<GroupRow> pending = Optional.empty();
  private Optional<Content> queued = Optional.empty();
  private Instant lastRequestAt = Instant.MIN;

  GroupRowWriter(VmId self, RandomGenerator random, PromotionSettings settings, GroupRow current) {
    this.self = self;
    this.random = random;
    this.settings = settings;
    this.current = current;
    // An earlier home may have started any term up to the last one that the row reserves.
    this.firstUnusedTerm =
        (settings.exclusiveEndpoints() ? current.term() : current.reservedThrough()).next();
  }

  /** Returns the first term that, according to the row, no earlier home can have started. */
  Term firstUnusedTerm() {
    return firstUnusedTerm;
  }

  /** Returns whether only this home can start the term, without writing the row first. */
  boolean isReserved(Term term) {
    boolean isInRange = !firstUnusedTerm.isAfter(term) && !term.isAfter(current.reservedThrough());
    return settings.exclusiveEndpoints() || (hasReservation && isInRange);
  }

  /**
   * Writes the term and its primary, and reserves further terms. If a write is pending, this one is
   * sent after it and replaces any other that waits.
   */
  void write(Term term, Optional<EndpointId> primary, Instant now, List<PromotionAction> actions) {
    queued = Optional.of(new Content(term, primary));
    if (pending.isEmpty()) {
      sendQueued(now, actions);
    }
  }

  /** Applies the confirmation that a write took effect. */
  void onWritten(RowVersion version, Instant now, List<PromotionAction> actions) {
    if (pending.filter(row -> row.version().equals(version)).isEmpty()) {
      return;
    }
    current = pending.get();
    hasReservation = true;
    pending = Optional.empty();
    sendQueued(now, actions);
  }

  /** Applies a row that was read; returns false if another home has written it. */
  boolean onRead(GroupRow row, Instant now, List<PromotionAction> actions) {
    if (pending.filter(own -> own.version().equals(row.version())).isPresent()) {
      onWritten(row.version(), now, actions);
      return true;
    }
    if (row.version().number() < current.version().number()) {
      return true;
    }
    resend(now, actions);
    return row.version().equals(current.version());
  }

  /** Reads the row back if the pending write got no answer within the retry interval. */
  void tick(Instant now, List<PromotionAction> actions) {
    Duration waited = Duration.between(lastRequestAt, now);
    if (pending.isPresent() && waited.compareTo(settings.retryInterval()) >= 0) {
      lastRequestAt = now;
      actions.add(new PromotionAction.ReadRow());
    }
  }

  private void sendQueued(Instant now, List<PromotionAction> actions) {
    if (queued.isEmpty()) {
      return;
    }
    RowVersion version = new RowVersion(current.version().number() + 1, self, random.nextLong());
    pending = Optional.of(queued.get().toRow(current, version, settings.reservedTerms()));
    queued = Optional.empty();
    resend(now, actions);
  }

  private void resend(Instant now, List<PromotionAction> actions) {
    pending.ifPresent(
        row -> {
          lastRequestAt = now;
          actions.add(new PromotionAction.WriteRow(row, current.version()));
        });
  }

  private record Content(Term term, Optional<EndpointId> primary) {
    GroupRow toRow(GroupRow current, RowVersion version, int reservedTerms) {
      long reservedFrom = Math.max(term.number(), current.reservedThrough().number());
      return new GroupRow(
          current.group(),
          term,
          primary,
          current.members(),
          new Term(reservedFrom + reservedTerms),
          version);
    }
  }
}

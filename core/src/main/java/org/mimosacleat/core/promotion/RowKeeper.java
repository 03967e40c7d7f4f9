package org.mimosacleat.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;

/** The conditional writes of the row: one at a time, settled by reading back if unanswered. */
final class RowKeeper {
  private final VmId self;
  private final RandomGenerator random;
  private final PromotionSettings settings;
  private final Term firstOwn;
  private GroupRow known;
  private boolean hasReserved;
  private Optional<GroupRow> pending = Optional.empty();
  private Optional<Content> wanted = Optional.empty();
  private Instant askedAt = Instant.MIN;

  RowKeeper(VmId self, RandomGenerator random, PromotionSettings settings, GroupRow known) {
    this.self = self;
    this.random = random;
    this.settings = settings;
    this.known = known;
    // An earlier home may have started any term that the row reserves.
    this.firstOwn = (settings.exclusiveEndpoints() ? known.term() : known.reservedThrough()).next();
  }

  /** Returns the first term that no earlier home can have started, as far as the row says. */
  Term firstOwn() {
    return firstOwn;
  }

  /** Tells whether this home alone may start the term, without writing the row first. */
  boolean isReserved(Term term) {
    boolean inRange = !firstOwn.isAfter(term) && !term.isAfter(known.reservedThrough());
    return settings.exclusiveEndpoints() || (hasReserved && inRange);
  }

  /** Writes the term and its primary, and reserves terms ahead; after the write that is pending. */
  void write(Term term, Optional<EndpointId> primary, Instant now, List<PromotionAction> actions) {
    wanted = Optional.of(new Content(term, primary));
    if (pending.isEmpty()) {
      sendWanted(now, actions);
    }
  }

  /** Takes in a write that took effect. */
  void written(RowVersion version, Instant now, List<PromotionAction> actions) {
    if (pending.filter(row -> row.version().equals(version)).isEmpty()) {
      return;
    }
    known = pending.get();
    hasReserved = true;
    pending = Optional.empty();
    sendWanted(now, actions);
  }

  /** Takes in a row that was read; returns false if another home has written it. */
  boolean read(GroupRow row, Instant now, List<PromotionAction> actions) {
    if (pending.filter(mine -> mine.version().equals(row.version())).isPresent()) {
      written(row.version(), now, actions);
      return true;
    }
    if (row.version().number() < known.version().number()) {
      return true;
    }
    resend(now, actions);
    return row.version().equals(known.version());
  }

  /** Reads the row back if the pending write has had no answer for a while. */
  void tick(Instant now, List<PromotionAction> actions) {
    Duration waited = Duration.between(askedAt, now);
    if (pending.isPresent() && waited.compareTo(settings.retryInterval()) >= 0) {
      askedAt = now;
      actions.add(new PromotionAction.ReadRow());
    }
  }

  private void sendWanted(Instant now, List<PromotionAction> actions) {
    if (wanted.isEmpty()) {
      return;
    }
    RowVersion version = new RowVersion(known.version().number() + 1, self, random.nextLong());
    pending = Optional.of(wanted.get().after(known, version, settings.reservedTerms()));
    wanted = Optional.empty();
    resend(now, actions);
  }

  private void resend(Instant now, List<PromotionAction> actions) {
    pending.ifPresent(
        row -> {
          askedAt = now;
          actions.add(new PromotionAction.WriteRow(row, known.version()));
        });
  }

  private record Content(Term term, Optional<EndpointId> primary) {
    GroupRow after(GroupRow known, RowVersion version, int reservedTerms) {
      long least = Math.max(term.number(), known.reservedThrough().number());
      return new GroupRow(
          known.group(), term, primary, known.members(), new Term(least + reservedTerms), version);
    }
  }
}

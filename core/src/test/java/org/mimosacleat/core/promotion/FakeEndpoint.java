package org.mimosacleat.core.promotion;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/** Simulated endpoint whose log is a list of records. Log and fence survive a restart. */
final class FakeEndpoint {
  private final EndpointId id;
  private final List<LogEntry> log = new ArrayList<>();
  private Term fence = Term.FIRST;
  private Optional<Term> primaryOf = Optional.empty();
  private boolean up = true;

  FakeEndpoint(EndpointId id) {
    this.id = id;
    log.add(new LogEntry(Term.FIRST, -1));
  }

  EndpointId id() {
    return id;
  }

  boolean isUp() {
    return up;
  }

  void setUp(boolean running) {
    up = running;
  }

  void startAsFirstPrimary() {
    primaryOf = Optional.of(Term.FIRST);
  }

  boolean isPrimaryOf(Term term) {
    return primaryOf.filter(term::equals).isPresent() && !fence.isAfter(term);
  }

  Position position() {
    return new Position(log.getLast().term(), new LogPosition(log.size()));
  }

  PollResponse poll(Instant askedAt) {
    return new PollResponse(id, position(), position(), fence, askedAt);
  }

  PromotionInput fence(Term term) {
    if (term.isAfter(fence)) {
      fence = term;
      primaryOf = Optional.empty();
    }
    return new PromotionInput.FenceAnswered(id, term, fence, position());
  }

  /** Promotes the endpoint; a repeated request gets the same kind of answer as the first. */
  PromotionInput promote(Term term) {
    if (fence.isAfter(term)) {
      return new PromotionInput.PromoteFailed(id, term);
    }
    if (!isPrimaryOf(term)) {
      fence = term;
      primaryOf = Optional.of(term);
      log.add(new LogEntry(term, -1));
    }
    return new PromotionInput.PromoteAnswered(id, position());
  }

  /**
   * Copies up to {@code size} records of the primary's log after rewinding to the common prefix.
   */
  void replicateFrom(FakeEndpoint primary, Term term, int size) {
    boolean allowed = primary.isPrimaryOf(term) && !fence.isAfter(term) && !isPrimaryOf(term);
    if (!allowed) {
      return;
    }
    int newSize = Math.max(commonPrefixLength(primary), Math.min(size, primary.log.size()));
    List<LogEntry> copied = List.copyOf(primary.log.subList(0, newSize));
    log.clear();
    log.addAll(copied);
  }

  Position append(long write) {
    log.add(new LogEntry(primaryOf.orElseThrow(), write));
    return position();
  }

  boolean contains(long write) {
    return log.stream().anyMatch(entry -> entry.write() == write);
  }

  int size() {
    return log.size();
  }

  private int commonPrefixLength(FakeEndpoint other) {
    int length = 0;
    while (length < Math.min(log.size(), other.log.size())
        && log.get(length).equals(other.log.get(length))) {
      length++;
    }
    return length;
  }

  private record LogEntry(Term term, long write) {}
}

package org.mimosacleat.lab.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.lease.FencingToken;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/** A simulated database instance: a log with terms, a fence, home tokens and an upstream. */
final class FakeInstance {
  private static final String TERM_START = "";

  private static final LogEntry INITIAL_ENTRY = new LogEntry(Term.FIRST, TERM_START);

  /** A log record, compared by identity; the write is empty for the start of a term. */
  private record LogEntry(Term term, String write) {}

  private final EndpointId id;
  private List<LogEntry> log = new ArrayList<>(List.of(INITIAL_ENTRY));
  private int replayed = 1;
  private Term fencedTerm = Term.FIRST;
  private FencingToken token = FencingToken.NONE;
  private FencingToken previousToken = FencingToken.NONE;
  private Optional<FakeInstance> upstream = Optional.empty();
  private boolean primary;
  boolean up = true;
  boolean frozen;
  boolean reachable = true;
  boolean connectedToGroup = true;
  boolean replaying = true;
  boolean dropsAnswers;

  FakeInstance(EndpointId id) {
    this.id = id;
  }

  @Override
  public String toString() {
    return id
        + ": primary "
        + primary
        + ", term "
        + term()
        + ", fenced at "
        + fencedAt()
        + ", token "
        + token
        + ", log length "
        + log.size();
  }

  EndpointId id() {
    return id;
  }

  Term term() {
    return log.getLast().term();
  }

  boolean isPrimary() {
    return primary;
  }

  FencingToken token() {
    return token;
  }

  FencingToken previousToken() {
    return previousToken;
  }

  Term fencedAt() {
    return fencedTerm.isAfter(term()) ? fencedTerm : term();
  }

  Position received() {
    return new Position(term(), new LogPosition(log.size()));
  }

  PollResponse pollResponse(java.time.Instant askedAt) {
    Position replayedPosition =
        new Position(log.get(replayed - 1).term(), new LogPosition(replayed));
    return new PollResponse(id, received(), replayedPosition, fencedAt(), askedAt);
  }

  Set<String> visibleWrites() {
    return log.subList(0, replayed).stream().map(LogEntry::write).collect(Collectors.toSet());
  }

  Set<String> storedWrites() {
    return log.stream().map(LogEntry::write).collect(Collectors.toSet());
  }

  boolean acceptsToken(FencingToken requested) {
    return !token.isAfter(requested);
  }

  boolean canWrite() {
    return primary && !fencedTerm.isAfter(term());
  }

  void append(String write) {
    log.add(new LogEntry(term(), write));
    replayed = log.size();
  }

  void recordToken(FencingToken requested) {
    if (requested.isAfter(token)) {
      previousToken = token;
      token = requested;
    }
  }

  void fence(Term requested) {
    fencedTerm = requested.isAfter(fencedTerm) ? requested : fencedTerm;
  }

  void promote() {
    Term next = term().next();
    primary = true;
    upstream = Optional.empty();
    log.add(new LogEntry(fencedTerm.isAfter(next) ? fencedTerm : next, TERM_START));
    replayed = log.size();
  }

  void follow(FakeInstance other) {
    primary = false;
    upstream = Optional.of(other);
  }

  void startAsPrimary() {
    primary = true;
  }

  /** Receives the log of the upstream, and replays it unless replay is suspended. */
  void replicate() {
    if (primary || upstream.isEmpty() || !canReceive(upstream.get())) {
      return;
    }
    copyLog(upstream.get());
    if (replaying) {
      replayed = log.size();
    }
  }

  private boolean canReceive(FakeInstance source) {
    boolean connected = connectedToGroup && source.connectedToGroup;
    boolean running = up && !frozen && source.up && !source.frozen;
    boolean unfenced =
        !source.fencedTerm.isAfter(source.term()) && !fencedTerm.isAfter(source.term());
    return connected && running && unfenced;
  }

  private void copyLog(FakeInstance source) {
    int common = commonLength(source);
    if (common < log.size()) {
      if (!source.term().isAfter(term())) {
        return;
      }
      log = new ArrayList<>(log.subList(0, common));
      replayed = Math.min(replayed, common);
    }
    log.addAll(source.log.subList(common, source.log.size()));
  }

  private int commonLength(FakeInstance other) {
    int length = 0;
    int maxLength = Math.min(log.size(), other.log.size());
    while (length < maxLength && log.get(length) == other.log.get(length)) {
      length++;
    }
    return length;
  }
}

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

/** An endpoint of the fuzz: a log with terms, a fence, the tokens of homes, and an upstream. */
final class FakeInstance {
  private static final String TERM_START = "";

  private static final Entry FIRST_ENTRY = new Entry(Term.FIRST, TERM_START);

  /** One record of the log, compared by identity; the write is empty for the start of a term. */
  private record Entry(Term term, String write) {}

  private final EndpointId id;
  private List<Entry> log = new ArrayList<>(List.of(FIRST_ENTRY));
  private int replayed = 1;
  private Term fence = Term.FIRST;
  private FencingToken token = FencingToken.NONE;
  private FencingToken previousToken = FencingToken.NONE;
  private Optional<FakeInstance> upstream = Optional.empty();
  private boolean primary;
  boolean up = true;
  boolean frozen;
  boolean reachable = true;
  boolean connectedToGroup = true;
  boolean replays = true;
  boolean losesAnswers;

  FakeInstance(EndpointId id) {
    this.id = id;
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
    return fence.isAfter(term()) ? fence : term();
  }

  Position received() {
    return new Position(term(), new LogPosition(log.size()));
  }

  PollResponse answer(java.time.Instant askedAt) {
    Position seen = new Position(log.get(replayed - 1).term(), new LogPosition(replayed));
    return new PollResponse(id, received(), seen, fencedAt(), askedAt);
  }

  Set<String> visible() {
    return log.subList(0, replayed).stream().map(Entry::write).collect(Collectors.toSet());
  }

  Set<String> stored() {
    return log.stream().map(Entry::write).collect(Collectors.toSet());
  }

  boolean admits(FencingToken asked) {
    return !token.isAfter(asked);
  }

  boolean canWrite() {
    return primary && !fence.isAfter(term());
  }

  void append(String write) {
    log.add(new Entry(term(), write));
    replayed = log.size();
  }

  void accept(FencingToken asked) {
    if (asked.isAfter(token)) {
      previousToken = token;
      token = asked;
    }
  }

  void fence(Term asked) {
    fence = asked.isAfter(fence) ? asked : fence;
  }

  void promote() {
    Term next = term().next();
    primary = true;
    upstream = Optional.empty();
    log.add(new Entry(fence.isAfter(next) ? fence : next, TERM_START));
    replayed = log.size();
  }

  void follow(FakeInstance other) {
    primary = false;
    upstream = Optional.of(other);
  }

  void startAsPrimary() {
    primary = true;
  }

  /** Receives what the upstream has, and replays it unless the replay is held back. */
  void replicate() {
    if (primary || upstream.isEmpty() || !canReceive(upstream.get())) {
      return;
    }
    adopt(upstream.get());
    if (replays) {
      replayed = log.size();
    }
  }

  private boolean canReceive(FakeInstance from) {
    boolean connected = connectedToGroup && from.connectedToGroup;
    boolean running = up && !frozen && from.up && !from.frozen;
    boolean unfenced = !from.fence.isAfter(from.term()) && !fence.isAfter(from.term());
    return connected && running && unfenced;
  }

  private void adopt(FakeInstance from) {
    int common = commonLength(from);
    if (common < log.size()) {
      if (!from.term().isAfter(term())) {
        return;
      }
      log = new ArrayList<>(log.subList(0, common));
      replayed = Math.min(replayed, common);
    }
    log.addAll(from.log.subList(common, from.log.size()));
  }

  private int commonLength(FakeInstance other) {
    int length = 0;
    int limit = Math.min(log.size(), other.log.size());
    while (length < limit && log.get(length) == other.log.get(length)) {
      length++;
    }
    return length;
  }
}

package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.error.Outcome;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/** Checks the invariants on what clients and endpoints observe, independently of the decisions. */
final class Oracle {
  static final Duration MAX_LEAVING_DELAY = Duration.ofSeconds(3);

  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Set<String>> acknowledgedBySession = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private final Set<String> refusedAsNotRun = new HashSet<>();
  private final Map<EndpointId, Instant> leavingSince = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int unknownOutcomes;
  private int reads;
  private int promotions;
  private Term latestPromoted = Term.FIRST;

  List<String> violations() {
    return violations;
  }

  /** Returns the writes that a read of the session must see if it is sent now. */
  Set<String> requiredWrites(String session) {
    return Set.copyOf(acknowledgedBySession.getOrDefault(session, Set.of()));
  }

  Coverage coverage(int homes) {
    return new Coverage(
        acknowledged.size(), refusedAsNotRun.size(), unknownOutcomes, reads, promotions, homes);
  }

  boolean isAcknowledged(String write) {
    return acknowledged.contains(write);
  }

  void recordRun(String write) {
    if (runs.merge(write, 1, Integer::sum) > 1) {
      addViolation("at most once: " + write + " ran " + runs.get(write) + " times");
    }
    if (refusedAsNotRun.contains(write)) {
      addViolation("not run: " + write + " ran after it was refused as not run");
    }
  }

  void recordAcknowledgement(String session, String write, Position commit) {
    acknowledged.add(write);
    acknowledgedBySession.computeIfAbsent(session, unused -> new HashSet<>()).add(write);
    if (latestPromoted.isAfter(commit.term())) {
      addViolation(
          "replaced primary: "
              + write
              + " of term "
              + commit.term()
              + " was acknowledged after the promotion of term "
              + latestPromoted);
    }
  }

  void recordFailure(String write, Failure failure) {
    if (failure.kind().outcome() != Outcome.NOT_RUN) {
      unknownOutcomes++;
      return;
    }
    refusedAsNotRun.add(write);
    if (runs.containsKey(write)) {
      addViolation("not run: " + write + " was refused as " + failure.kind() + ", but ran");
    }
  }

  void recordPromotion(Term term) {
    promotions++;
    latestPromoted = term.isAfter(latestPromoted) ? term : latestPromoted;
  }

  void recordAnnouncement(FakeInstance primary) {
    Set<String> lost = new HashSet<>(acknowledged);
    lost.removeAll(primary.storedWrites());
    if (!lost.isEmpty()) {
      addViolation(
          "replaced primary: " + primary.id() + " serves without the acknowledged writes " + lost);
    }
  }

  void recordRead(String session, Set<String> required, Set<String> seen) {
    reads++;
    Set<String> missing = new HashSet<>(required);
    missing.removeAll(seen);
    if (!missing.isEmpty()) {
      addViolation("read your writes: " + session + " does not see its own writes " + missing);
    }
  }

  void recordLeaving(EndpointId endpoint, Instant now) {
    leavingSince.putIfAbsent(endpoint, now);
  }

  void recordSent(EndpointId endpoint, Instant now) {
    Instant since = leavingSince.get(endpoint);
    if (since != null && now.isAfter(since.plus(MAX_LEAVING_DELAY))) {
      addViolation(
          "leaving endpoint: "
              + endpoint
              + " was sent new work "
              + Duration.between(since, now)
              + " after it was marked as leaving");
    }
  }

  private void addViolation(String violation) {
    violations.add(violation);
  }
}

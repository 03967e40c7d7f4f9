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

/** Judges what clients saw against what endpoints did; it knows nothing of the decisions. */
final class Oracle {
  static final Duration LEAVING_LIMIT = Duration.ofSeconds(3);

  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Set<String>> acknowledgedBySession = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private final Set<String> refusedAsNotRun = new HashSet<>();
  private final Map<EndpointId, Instant> leavingSince = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int unknown;
  private int reads;
  private int promotions;
  private Term latestPromoted = Term.FIRST;

  List<String> violations() {
    return violations;
  }

  /** Returns what a read of the session has to see if it is sent now. */
  Set<String> requiredBy(String session) {
    return Set.copyOf(acknowledgedBySession.getOrDefault(session, Set.of()));
  }

  Reached reached(int homes) {
    return new Reached(
        acknowledged.size(), refusedAsNotRun.size(), unknown, reads, promotions, homes);
  }

  boolean isAcknowledged(String write) {
    return acknowledged.contains(write);
  }

  void ran(String write) {
    if (runs.merge(write, 1, Integer::sum) > 1) {
      violate("at most once: " + write + " ran " + runs.get(write) + " times");
    }
    if (refusedAsNotRun.contains(write)) {
      violate("not run: " + write + " ran after it was refused as not run");
    }
  }

  void acknowledged(String session, String write, Position commit) {
    acknowledged.add(write);
    acknowledgedBySession.computeIfAbsent(session, unused -> new HashSet<>()).add(write);
    if (latestPromoted.isAfter(commit.term())) {
      violate(
          "replaced primary: "
              + write
              + " of term "
              + commit.term()
              + " was acknowledged after the promotion of term "
              + latestPromoted);
    }
  }

  void failed(String write, Failure failure) {
    if (failure.kind().outcome() != Outcome.NOT_RUN) {
      unknown++;
      return;
    }
    refusedAsNotRun.add(write);
    if (runs.containsKey(write)) {
      violate("not run: " + write + " was refused as " + failure.kind() + ", but ran");
    }
  }

  void promoted(Term term) {
    promotions++;
    latestPromoted = term.isAfter(latestPromoted) ? term : latestPromoted;
  }

  void announced(FakeInstance primary) {
    Set<String> lost = new HashSet<>(acknowledged);
    lost.removeAll(primary.stored());
    if (!lost.isEmpty()) {
      violate("replaced primary: " + primary.id() + " serves without the acknowledged " + lost);
    }
  }

  void answeredRead(String session, Set<String> required, Set<String> seen) {
    reads++;
    Set<String> missing = new HashSet<>(required);
    missing.removeAll(seen);
    if (!missing.isEmpty()) {
      violate("read your writes: " + session + " does not see its own " + missing);
    }
  }

  void leaving(EndpointId endpoint, Instant now) {
    leavingSince.putIfAbsent(endpoint, now);
  }

  void sent(EndpointId endpoint, Instant now) {
    Instant since = leavingSince.get(endpoint);
    if (since != null && now.isAfter(since.plus(LEAVING_LIMIT))) {
      violate("leaving endpoint: " + endpoint + " got new work " + Duration.between(since, now));
    }
  }

  private void violate(String violation) {
    violations.add(violation);
  }
}

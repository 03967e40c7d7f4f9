package org.mimosacleat.core.acknowledgement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;

/**
 * Randomized simulation of a tracker at a home that does not learn of a promotion by another home.
 * Simulates writes, replication, delayed and reordered poll answers, and fences. Detects lost
 * acknowledged writes and counts late acknowledgements.
 */
final class AcknowledgementSimulation {
  static final List<EndpointId> MEMBERS =
      List.of(new EndpointId("a"), new EndpointId("b"), new EndpointId("c"));
  static final TermMembership FIRST_MEMBERSHIP =
      new TermMembership(Term.FIRST, MEMBERS.getFirst(), Set.copyOf(MEMBERS));

  private static final int STEPS = 200;

  private final Random random;
  private final PausedClock clock;
  private final AcknowledgementTracker tracker;
  private final long[] received = new long[MEMBERS.size()];
  private final boolean[] fenced = new boolean[MEMBERS.size()];
  private final List<PollResponse> inFlight = new ArrayList<>();
  private long highestAcknowledged;
  private long promotedPosition = Long.MAX_VALUE;
  private boolean leaseHeld = true;
  private int acknowledged;
  private int lateAcknowledgements;

  AcknowledgementSimulation(long seed, PausedClock clock, TrackerFactory factory) {
    this.random = new Random(seed);
    this.clock = clock;
    this.tracker = factory.create(clock, () -> leaseHeld);
  }

  void run() {
    for (int step = 0; step < STEPS; step++) {
      clock.advance(Duration.ofMillis(random.nextInt(3)));
      int endpoint = random.nextInt(MEMBERS.size());
      switch (random.nextInt(6)) {
        case 0 -> write();
        case 1, 2 -> replicate(endpoint);
        case 3 -> inFlight.add(poll(endpoint));
        case 4 -> deliver();
        default -> advanceTakeover(endpoint);
      }
    }
  }

  int acknowledged() {
    return acknowledged;
  }

  int lateAcknowledgements() {
    return lateAcknowledgements;
  }

  boolean hasLostAcknowledgedWrite() {
    return highestAcknowledged > promotedPosition;
  }

  /** Writes on the primary unless it is fenced. */
  private void write() {
    if (fenced[0]) {
      return;
    }
    received[0] += 10;
    long log = received[0];
    Position commit = new Position(Term.FIRST, new LogPosition(log));
    tracker
        .await(commit, clock.instant().plusSeconds(60))
        .thenAccept(result -> result.forEach(position -> onAcknowledged(log)));
  }

  private void onAcknowledged(long log) {
    acknowledged++;
    highestAcknowledged = Math.max(highestAcknowledged, log);
    if (isReplaced()) {
      lateAcknowledgements++;
    }
  }

  private void replicate(int endpoint) {
    if (!fenced[endpoint] && !fenced[0]) {
      received[endpoint] += random.nextLong(received[0] - received[endpoint] + 1);
    }
  }

  private PollResponse poll(int endpoint) {
    Position position = new Position(Term.FIRST, new LogPosition(received[endpoint]));
    Term fence = fenced[endpoint] ? Term.FIRST.next() : Term.FIRST;
    return new PollResponse(MEMBERS.get(endpoint), position, position, fence, clock.instant());
  }

  private void deliver() {
    if (!inFlight.isEmpty()) {
      tracker.applyPollResponse(inFlight.remove(random.nextInt(inFlight.size())));
    }
  }

  /** Advances the takeover: the lease expires, then the new home fences a majority and promotes. */
  private void advanceTakeover(int endpoint) {
    if (random.nextInt(8) > 0 || isReplaced()) {
      return;
    }
    if (leaseHeld) {
      leaseHeld = false;
      return;
    }
    fenced[endpoint] = true;
    long count = MEMBERS.stream().filter(member -> fenced[MEMBERS.indexOf(member)]).count();
    if (count >= FIRST_MEMBERSHIP.majority()) {
      promotedPosition = mostAdvancedFenced();
    }
  }

  private long mostAdvancedFenced() {
    long[] positions = new long[MEMBERS.size()];
    for (int index = 0; index < positions.length; index++) {
      positions[index] = fenced[index] ? received[index] : 0;
    }
    return Arrays.stream(positions).max().orElseThrow();
  }

  private boolean isReplaced() {
    return promotedPosition != Long.MAX_VALUE;
  }

  /** Creates the tracker under test. */
  interface TrackerFactory {
    AcknowledgementTracker create(PausedClock clock, LeaseStatus lease);
  }
}

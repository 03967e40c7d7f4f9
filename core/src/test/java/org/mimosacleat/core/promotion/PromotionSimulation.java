package org.mimosacleat.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.mimosacleat.core.acknowledgement.AcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.ReplicaAcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;

/**
 * Randomized simulation of two proxies that alternate as the home, three endpoints and one row of
 * the table service. Requests and responses are delayed, lost, duplicated and reordered; endpoints
 * stop and restart; homes pause beyond the end of their leases. Counts lost writes, late
 * acknowledgements and terms with two primaries.
 */
final class PromotionSimulation {
  static final List<EndpointId> MEMBERS =
      List.of(new EndpointId("a"), new EndpointId("b"), new EndpointId("c"));
  static final Duration LEASE_DURATION = Duration.ofMillis(400);

  private static final int STEPS = 6_000;
  private static final int REORDER_WINDOW = 12;
  private static final VmId FIRST_WRITER = new VmId("founder");

  private final Random random;
  private final PausedClock clock = new PausedClock();
  private final Map<EndpointId, FakeEndpoint> endpoints = new HashMap<>();
  private final FakeRow row;
  private final List<Home> homes = new ArrayList<>();
  private final List<Runnable> inFlight = new ArrayList<>();
  private final Set<Long> acknowledged = new HashSet<>();
  private final Map<Term, EndpointId> primaries = new HashMap<>();
  private final boolean ignoreLease;
  private Optional<Home> leaseHolder = Optional.empty();
  private boolean tableUp = true;
  private Term latestServed = Term.FIRST;
  private long nextWrite;
  private int lostWrites;
  private int lateAcknowledgements;
  private int termsWithTwoPrimaries;
  private int promotions;

  PromotionSimulation(
      long seed, UnaryOperator<PromotionStateMachine> wrapper, boolean ignoreLease) {
    this.random = new Random(seed);
    this.ignoreLease = ignoreLease;
    MEMBERS.forEach(id -> endpoints.put(id, new FakeEndpoint(id)));
    EndpointId first = MEMBERS.getFirst();
    endpoints.get(first).startAsFirstPrimary();
    this.row =
        new FakeRow(
            new GroupRow(
                new GroupId("lending"),
                Term.FIRST,
                Optional.of(first),
                Set.copyOf(MEMBERS),
                Term.FIRST,
                new RowVersion(0, FIRST_WRITER, 0)));
    homes.add(new Home("one", "tamaki", wrapper));
    homes.add(new Home("two", "kirikiriroa", wrapper));
  }

  void run() {
    for (int stepNumber = 0; stepNumber < STEPS; stepNumber++) {
      clock.advance(Duration.ofMillis(random.nextInt(3)));
      Home home = homes.get(random.nextInt(homes.size()));
      FakeEndpoint endpoint = anyEndpoint();
      deliver();
      deliver();
      switch (random.nextInt(16)) {
        case 0 -> home.acquireLease();
        case 1, 2 -> home.renewLease();
        case 3, 4 -> home.write();
        case 5, 6 -> replicate(endpoint);
        case 7 -> home.poll(endpoint.id());
        case 8 -> home.receive(() -> home.step(new PromotionInput.Tick()));
        case 9 ->
            injectWithChance(endpoint.isUp() ? 30 : 5, () -> endpoint.setUp(!endpoint.isUp()));
        case 10 -> injectWithChance(tableUp ? 40 : 8, () -> tableUp = !tableUp);
        case 11 -> injectWithChance(40, () -> clock.advance(LEASE_DURATION));
        case 12 -> injectWithChance(home.paused ? 20 : 40, () -> home.paused = !home.paused);
        default -> deliver();
      }
    }
  }

  int lostWrites() {
    return lostWrites;
  }

  int lateAcknowledgements() {
    return lateAcknowledgements;
  }

  int termsWithTwoPrimaries() {
    return termsWithTwoPrimaries;
  }

  int promotions() {
    return promotions;
  }

  int acknowledged() {
    return acknowledged.size();
  }

  private FakeEndpoint anyEndpoint() {
    return endpoints.get(MEMBERS.get(random.nextInt(MEMBERS.size())));
  }

  private void injectWithChance(int oneIn, Runnable fault) {
    if (random.nextInt(oneIn) == 0) {
      fault.run();
    }
  }

  private void replicate(FakeEndpoint endpoint) {
    for (FakeEndpoint other : endpoints.values()) {
      Term term = other.position().term();
      if (other != endpoint && other.isUp() && endpoint.isUp() && other.isPrimaryOf(term)) {
        endpoint.replicateFrom(other, term, endpoint.size() + random.nextInt(4));
      }
    }
  }

  private void deliver() {
    if (inFlight.isEmpty()) {
      return;
    }
    int index = random.nextInt(Math.min(inFlight.size(), REORDER_WINDOW));
    switch (random.nextInt(20)) {
      case 0 -> inFlight.remove(index);
      case 1 -> inFlight.get(index).run();
      default -> inFlight.remove(index).run();
    }
  }

  private void recordPromotion(FakeEndpoint endpoint, Term term) {
    promotions++;
    EndpointId known = primaries.putIfAbsent(term, endpoint.id());
    if (known != null && !known.equals(endpoint.id())) {
      termsWithTwoPrimaries++;
    }
  }

  private void recordServing(TermMembership membership) {
    if (!membership.term().isAfter(latestServed)) {
      return;
    }
    latestServed = membership.term();
    FakeEndpoint primary = endpoints.get(membership.primary());
    lostWrites += (int) acknowledged.stream().filter(write -> !primary.contains(write)).count();
  }

  private final class Home {
    private final VmId id;
    private final AvailabilityZone zone;
    private final PromotionStateMachine machine;
    private final AcknowledgementTracker tracker;
    private Optional<TermMembership> serving = Optional.empty();
    private Instant leaseUntil = Instant.MIN;
    private boolean paused;

    Home(String name, String zoneName, UnaryOperator<PromotionStateMachine> wrapper) {
      id = new VmId(name);
      zone = new AvailabilityZone(zoneName);
      machine =
          wrapper.apply(
              new FencingPromotionStateMachine(
                  id, zone, clock, this::holdsLease, random, PromotionSettings.TABLE_LEASE));
      tracker =
          new ReplicaAcknowledgementTracker(
              clock,
              this::holdsLease,
              new TermMembership(Term.FIRST, MEMBERS.getFirst(), Set.copyOf(MEMBERS)));
    }

    boolean holdsLease() {
      return ignoreLease || clock.instant().isBefore(leaseUntil);
    }

    void acquireLease() {
      if (paused) {
        return;
      }
      boolean isFree =
          leaseHolder.filter(other -> clock.instant().isBefore(other.leaseUntil)).isEmpty();
      if (isFree && tableUp) {
        leaseHolder = Optional.of(this);
        leaseUntil = clock.instant().plus(LEASE_DURATION);
        serving = Optional.empty();
        step(new PromotionInput.LeaseGained(row.read()));
      }
    }

    void renewLease() {
      if (tableUp && !paused && leaseHolder.filter(this::equals).isPresent() && holdsLease()) {
        leaseUntil = clock.instant().plus(LEASE_DURATION);
      }
    }

    void step(PromotionInput input) {
      machine.step(input).forEach(this::execute);
    }

    void write() {
      if (serving.isEmpty() || paused) {
        return;
      }
      TermMembership membership = serving.get();
      FakeEndpoint primary = endpoints.get(membership.primary());
      if (!primary.isUp() || !primary.isPrimaryOf(membership.term())) {
        return;
      }
      long write = nextWrite++;
      Position commit = primary.append(write);
      tracker
          .await(commit, clock.instant().plusSeconds(60))
          .thenAccept(result -> result.forEach(position -> acknowledge(write, position)));
    }

    private void acknowledge(long write, Position commit) {
      acknowledged.add(write);
      if (latestServed.isAfter(commit.term())) {
        lateAcknowledgements++;
      }
    }

    void poll(EndpointId target) {
      Instant askedAt = clock.instant();
      inFlight.add(
          () -> {
            FakeEndpoint endpoint = endpoints.get(target);
            if (!endpoint.isUp()) {
              respond(new PromotionInput.PollFailed(target));
              return;
            }
            PromotionInput.PollAnswered answered =
                new PromotionInput.PollAnswered(endpoint.poll(askedAt));
            inFlight.add(
                () ->
                    receive(
                        () -> {
                          tracker.applyPollResponse(answered.response());
                          step(answered);
                        }));
          });
    }

    private void respond(PromotionInput input) {
      inFlight.add(() -> receive(() -> step(input)));
    }

    /** Defers the work while the home is paused. */
    private void receive(Runnable work) {
      if (paused) {
        inFlight.add(() -> receive(work));
      } else {
        work.run();
      }
    }

    private void sendToEndpoint(EndpointId target, java.util.function.Consumer<FakeEndpoint> work) {
      inFlight.add(
          () -> {
            if (endpoints.get(target).isUp()) {
              work.accept(endpoints.get(target));
            }
          });
    }

    private void execute(PromotionAction action) {
      switch (action) {
        case PromotionAction.Poll(EndpointId target) -> poll(target);
        case PromotionAction.RequestPeerEvidence(EndpointId target, long round) ->
            requestPeerEvidence(target, round);
        case PromotionAction.WriteRow(GroupRow next, RowVersion expected) ->
            inFlight.add(
                () -> {
                  if (tableUp) {
                    respond(row.write(next, expected));
                  }
                });
        case PromotionAction.ReadRow() ->
            inFlight.add(
                () -> {
                  if (tableUp) {
                    respond(new PromotionInput.RowRead(row.read()));
                  }
                });
        case PromotionAction.Fence(EndpointId target, Term term) ->
            sendToEndpoint(target, endpoint -> respond(endpoint.fence(term)));
        case PromotionAction.Promote(EndpointId target, Term term) ->
            sendToEndpoint(target, endpoint -> promote(endpoint, term));
        case PromotionAction.Follow(EndpointId target, EndpointId primary, Term term) ->
            sendToEndpoint(
                target,
                endpoint ->
                    endpoint.replicateFrom(endpoints.get(primary), term, endpoint.size() + 1));
        case PromotionAction.EndService end -> serving = Optional.empty();
        case PromotionAction.SuspendService suspend -> {
          tracker.suspend();
          serving = Optional.empty();
        }
        case PromotionAction.StartTerm(TermMembership membership) -> tracker.startTerm(membership);
        case PromotionAction.AnnouncePrimary(TermMembership membership, Position position) -> {
          tracker.startTerm(membership);
          serving = Optional.of(membership);
          recordServing(membership);
        }
        case PromotionAction.OfferHome offer -> leaseUntil = Instant.MIN;
        case PromotionAction.LogDecision logDecision -> {
          // Logging is not simulated.
        }
      }
    }

    private void promote(FakeEndpoint endpoint, Term term) {
      PromotionInput result = endpoint.promote(term);
      if (result instanceof PromotionInput.PromoteAnswered) {
        recordPromotion(endpoint, term);
      }
      respond(result);
    }

    private void requestPeerEvidence(EndpointId target, long round) {
      inFlight.add(
          () ->
              respond(
                  new PromotionInput.EvidenceReceived(
                      new AvailabilityZone("te-whanganui"), round, endpoints.get(target).isUp())));
    }
  }
}

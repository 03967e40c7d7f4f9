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
import org.mimosacleat.core.acknowledgement.Reign;
import org.mimosacleat.core.acknowledgement.ReplicaAcknowledgementTracker;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;

/**
 * Two proxies that take turns as the home, three endpoints and a row, with actions and answers that
 * are delayed, lost, doubled and reordered, endpoints that stop and come back, pauses past the
 * lease. Counts lost writes, late acknowledgements and terms with two primaries.
 */
final class PromotionOracle {
  static final List<EndpointId> MEMBERS =
      List.of(new EndpointId("a"), new EndpointId("b"), new EndpointId("c"));
  static final Duration LEASE = Duration.ofMillis(400);

  private static final int ROUNDS = 6_000;
  private static final int REORDERED = 12;
  private static final VmId FOUNDER = new VmId("founder");

  private final Random random;
  private final PausedClock clock = new PausedClock();
  private final Map<EndpointId, FakeEndpoint> endpoints = new HashMap<>();
  private final FakeRow row;
  private final List<Home> homes = new ArrayList<>();
  private final List<Runnable> inFlight = new ArrayList<>();
  private final Set<Long> acknowledged = new HashSet<>();
  private final Map<Term, EndpointId> primaries = new HashMap<>();
  private final boolean leaseBlind;
  private Optional<Home> holder = Optional.empty();
  private boolean tableUp = true;
  private Term latestServed = Term.FIRST;
  private long nextWrite;
  private int lost;
  private int late;
  private int doubled;
  private int promotions;

  PromotionOracle(long seed, UnaryOperator<PromotionMachine> wrapper, boolean leaseBlind) {
    this.random = new Random(seed);
    this.leaseBlind = leaseBlind;
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
                new RowVersion(0, FOUNDER, 0)));
    homes.add(new Home("one", "tamaki", wrapper));
    homes.add(new Home("two", "kirikiriroa", wrapper));
  }

  void run() {
    for (int roundNumber = 0; roundNumber < ROUNDS; roundNumber++) {
      clock.advance(Duration.ofMillis(random.nextInt(3)));
      Home home = homes.get(random.nextInt(homes.size()));
      FakeEndpoint endpoint = anyEndpoint();
      deliver();
      deliver();
      switch (random.nextInt(16)) {
        case 0 -> home.seekLease();
        case 1, 2 -> home.renewLease();
        case 3, 4 -> home.write();
        case 5, 6 -> replicate(endpoint);
        case 7 -> home.poll(endpoint.id());
        case 8 -> home.receive(() -> home.step(new PromotionInput.Tick()));
        case 9 -> rarely(endpoint.isUp() ? 30 : 5, () -> endpoint.setUp(!endpoint.isUp()));
        case 10 -> rarely(tableUp ? 40 : 8, () -> tableUp = !tableUp);
        case 11 -> rarely(40, () -> clock.advance(LEASE));
        case 12 -> rarely(home.paused ? 20 : 40, () -> home.paused = !home.paused);
        default -> deliver();
      }
    }
  }

  int lost() {
    return lost;
  }

  int late() {
    return late;
  }

  int doubled() {
    return doubled;
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

  private void rarely(int oneIn, Runnable fault) {
    if (random.nextInt(oneIn) == 0) {
      fault.run();
    }
  }

  private void replicate(FakeEndpoint endpoint) {
    for (FakeEndpoint other : endpoints.values()) {
      Term term = other.position().term();
      if (other != endpoint && other.isUp() && endpoint.isUp() && other.isPrimaryOf(term)) {
        endpoint.copy(other, term, endpoint.size() + random.nextInt(4));
      }
    }
  }

  private void deliver() {
    if (inFlight.isEmpty()) {
      return;
    }
    int index = random.nextInt(Math.min(inFlight.size(), REORDERED));
    switch (random.nextInt(20)) {
      case 0 -> inFlight.remove(index);
      case 1 -> inFlight.get(index).run();
      default -> inFlight.remove(index).run();
    }
  }

  private void promoted(FakeEndpoint endpoint, Term term) {
    promotions++;
    EndpointId known = primaries.putIfAbsent(term, endpoint.id());
    if (known != null && !known.equals(endpoint.id())) {
      doubled++;
    }
  }

  private void served(Reign reign) {
    if (!reign.term().isAfter(latestServed)) {
      return;
    }
    latestServed = reign.term();
    FakeEndpoint primary = endpoints.get(reign.primary());
    lost += (int) acknowledged.stream().filter(write -> !primary.contains(write)).count();
  }

  private final class Home {
    private final VmId id;
    private final AvailabilityZone zone;
    private final PromotionMachine machine;
    private final AcknowledgementTracker tracker;
    private Optional<Reign> serving = Optional.empty();
    private Instant leaseUntil = Instant.MIN;
    private boolean paused;

    Home(String name, String zoneName, UnaryOperator<PromotionMachine> wrapper) {
      id = new VmId(name);
      zone = new AvailabilityZone(zoneName);
      machine =
          wrapper.apply(
              new FencingPromotionMachine(
                  id, zone, clock, this::holdsLease, random, PromotionSettings.TABLE_LEASE));
      tracker =
          new ReplicaAcknowledgementTracker(
              clock,
              this::holdsLease,
              new Reign(Term.FIRST, MEMBERS.getFirst(), Set.copyOf(MEMBERS)));
    }

    boolean holdsLease() {
      return leaseBlind || clock.instant().isBefore(leaseUntil);
    }

    void seekLease() {
      if (paused) {
        return;
      }
      boolean free = holder.filter(other -> clock.instant().isBefore(other.leaseUntil)).isEmpty();
      if (free && tableUp) {
        holder = Optional.of(this);
        leaseUntil = clock.instant().plus(LEASE);
        serving = Optional.empty();
        step(new PromotionInput.LeaseGained(row.read()));
      }
    }

    void renewLease() {
      if (tableUp && !paused && holder.filter(this::equals).isPresent() && holdsLease()) {
        leaseUntil = clock.instant().plus(LEASE);
      }
    }

    void step(PromotionInput input) {
      machine.step(input).forEach(this::carryOut);
    }

    void write() {
      if (serving.isEmpty() || paused) {
        return;
      }
      Reign reign = serving.get();
      FakeEndpoint primary = endpoints.get(reign.primary());
      if (!primary.isUp() || !primary.isPrimaryOf(reign.term())) {
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
        late++;
      }
    }

    void poll(EndpointId target) {
      Instant askedAt = clock.instant();
      inFlight.add(
          () -> {
            FakeEndpoint endpoint = endpoints.get(target);
            if (!endpoint.isUp()) {
              answer(new PromotionInput.PollFailed(target));
              return;
            }
            PromotionInput.PollAnswered answered =
                new PromotionInput.PollAnswered(endpoint.poll(askedAt));
            inFlight.add(
                () ->
                    receive(
                        () -> {
                          tracker.answered(answered.answer());
                          step(answered);
                        }));
          });
    }

    private void answer(PromotionInput input) {
      inFlight.add(() -> receive(() -> step(input)));
    }

    /** A paused home takes in nothing until it goes on. */
    private void receive(Runnable work) {
      if (paused) {
        inFlight.add(() -> receive(work));
      } else {
        work.run();
      }
    }

    private void atEndpoint(EndpointId target, java.util.function.Consumer<FakeEndpoint> work) {
      inFlight.add(
          () -> {
            if (endpoints.get(target).isUp()) {
              work.accept(endpoints.get(target));
            }
          });
    }

    private void carryOut(PromotionAction action) {
      switch (action) {
        case PromotionAction.Poll(EndpointId target) -> poll(target);
        case PromotionAction.AskPeers(EndpointId target, long round) -> askPeers(target, round);
        case PromotionAction.WriteRow(GroupRow next, RowVersion expected) ->
            inFlight.add(
                () -> {
                  if (tableUp) {
                    answer(row.write(next, expected));
                  }
                });
        case PromotionAction.ReadRow() ->
            inFlight.add(
                () -> {
                  if (tableUp) {
                    answer(new PromotionInput.RowRead(row.read()));
                  }
                });
        case PromotionAction.Fence(EndpointId target, Term term) ->
            atEndpoint(target, endpoint -> answer(endpoint.fence(term)));
        case PromotionAction.Promote(EndpointId target, Term term) ->
            atEndpoint(target, endpoint -> promote(endpoint, term));
        case PromotionAction.Follow(EndpointId target, EndpointId primary, Term term) ->
            atEndpoint(
                target,
                endpoint -> endpoint.copy(endpoints.get(primary), term, endpoint.size() + 1));
        case PromotionAction.Withdraw withdraw -> {
          tracker.withdrawn();
          serving = Optional.empty();
        }
        case PromotionAction.StartTerm(Reign reign) -> tracker.termStarted(reign);
        case PromotionAction.Announce(Reign reign, Position position) -> {
          tracker.termStarted(reign);
          serving = Optional.of(reign);
          served(reign);
        }
        case PromotionAction.OfferHome offer -> leaseUntil = Instant.MIN;
        case PromotionAction.Explain explain -> {
          // Nothing to do.
        }
      }
    }

    private void promote(FakeEndpoint endpoint, Term term) {
      PromotionInput result = endpoint.promote(term);
      if (result instanceof PromotionInput.PromoteAnswered) {
        promoted(endpoint, term);
      }
      answer(result);
    }

    private void askPeers(EndpointId target, long round) {
      inFlight.add(
          () ->
              answer(
                  new PromotionInput.EvidenceReceived(
                      new AvailabilityZone("te-whanganui"), round, endpoints.get(target).isUp())));
    }
  }
}

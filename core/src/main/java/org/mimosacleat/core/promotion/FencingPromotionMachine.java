package org.mimosacleat.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.acknowledgement.LeaseStatus;
import org.mimosacleat.core.acknowledgement.PollAnswer;
import org.mimosacleat.core.acknowledgement.Reign;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * Promotes in a term that it alone may start, after a majority of the endpoints refuses earlier
 * terms.
 *
 * <p>The term is reserved ahead by a conditional write, so a promotion needs no write and goes on
 * while the table service is down. Suspicion needs two or more availability zones. The most
 * advanced of the fenced is promoted; if it fails, the next term is started. At every step the
 * lease is asked again, so a home that was paused past it does nothing more. Not safe for several
 * threads.
 */
public final class FencingPromotionMachine implements PromotionMachine {
  private final VmId self;
  private final AvailabilityZone ownZone;
  private final InstantSource clock;
  private final LeaseStatus lease;
  private final PromotionSettings settings;
  private final RandomGenerator random;

  private PromotionPhase phase = new PromotionPhase.Idle();
  private EndpointWatch watch = new EndpointWatch();
  private RowKeeper rows;
  private Reign reign;
  private boolean complete;
  private boolean announced;
  private Instant gainedAt = Instant.MIN;
  private Instant nextFollow = Instant.MIN;
  private long round;
  private List<PromotionAction> actions = new ArrayList<>();

  /** Makes a machine that waits for the lease. */
  public FencingPromotionMachine(
      VmId self,
      AvailabilityZone ownZone,
      InstantSource clock,
      LeaseStatus lease,
      RandomGenerator random,
      PromotionSettings settings) {
    this.self = Checks.notNull("vm id", self);
    this.ownZone = Checks.notNull("availability zone", ownZone);
    this.clock = Checks.notNull("clock", clock);
    this.lease = Checks.notNull("lease status", lease);
    this.random = Checks.notNull("random generator", random);
    this.settings = Checks.notNull("promotion settings", settings);
  }

  @Override
  public List<PromotionAction> step(PromotionInput input) {
    actions = new ArrayList<>();
    if (!(phase instanceof PromotionPhase.Idle) && !lease.isHeld()) {
      stop("the lease has expired");
    }
    if (input instanceof PromotionInput.LeaseGained gained) {
      takeOver(gained.row());
    } else if (!(phase instanceof PromotionPhase.Idle)) {
      dispatch(input);
    }
    return List.copyOf(actions);
  }

  private void dispatch(PromotionInput input) {
    switch (input) {
      case PromotionInput.LeaseGained gained -> takeOver(gained.row());
      case PromotionInput.LeaseLost() -> stop("the lease was given up");
      case PromotionInput.PollAnswered(PollAnswer answer) -> pollAnswered(answer);
      case PromotionInput.PollFailed(EndpointId endpoint) -> pollFailed(endpoint);
      case PromotionInput.EvidenceReceived evidence -> evidenceReceived(evidence);
      case PromotionInput.RowWritten(RowVersion version) -> rowWritten(version);
      case PromotionInput.RowRefused refused -> actions.add(new PromotionAction.ReadRow());
      case PromotionInput.RowRead(GroupRow row) -> rowRead(row);
      case PromotionInput.FenceAnswered answer -> fenceAnswered(answer);
      case PromotionInput.PromoteAnswered answer -> promoteAnswered(answer);
      case PromotionInput.PromoteFailed failed -> promoteFailed(failed);
      case PromotionInput.EndpointLeaving(EndpointId endpoint) -> endpointLeaving(endpoint);
      case PromotionInput.Tick() -> tick();
    }
  }

  private void takeOver(GroupRow row) {
    rows = new RowKeeper(self, random, settings, row);
    watch = new EndpointWatch();
    watch.seen(row.term());
    EndpointId primary = row.primary().orElseGet(() -> Collections.min(row.members()));
    reign = new Reign(row.term(), primary, row.members());
    complete = row.primary().isPresent();
    announced = false;
    gainedAt = now();
    phase = new PromotionPhase.TakingOver(Set.of());
    actions.add(new PromotionAction.Withdraw(row.term()));
    rows.write(row.term(), row.primary(), now(), actions);
    pollAll();
  }

  private void stop(String reason) {
    phase = new PromotionPhase.Idle();
    actions.add(new PromotionAction.Withdraw(reign.term()));
    explain("stopped: " + reason);
  }

  private void pollAnswered(PollAnswer answer) {
    // An answer to a question from before the lease says nothing of what other homes did since.
    boolean isCurrent = answer.askedAt().isAfter(gainedAt);
    if (!isCurrent || !reign.members().contains(answer.endpoint())) {
      return;
    }
    watch.answered(answer);
    switch (phase) {
      case PromotionPhase.TakingOver takingOver -> takingOver(answer, takingOver);
      case PromotionPhase.Watching() -> watching(answer);
      case PromotionPhase.Suspecting suspecting -> suspecting(answer);
      case PromotionPhase.Claiming claiming -> claiming(answer);
      case PromotionPhase.Confirming confirming -> confirming(answer, confirming);
      default -> {
        // The other phases go by the answers to their own questions.
      }
    }
  }

  private void takingOver(PollAnswer answer, PromotionPhase.TakingOver takingOver) {
    PromotionPhase.TakingOver next = takingOver.with(answer.endpoint());
    phase = next;
    if (next.answered().size() < reign.majority()) {
      return;
    }
    phase = new PromotionPhase.Watching();
    if (!complete) {
      startPromotion("the promotion of an earlier home was not finished");
      return;
    }
    if (watch.highestTerm().isAfter(reign.term())) {
      startPromotion("an endpoint has seen term " + watch.highestTerm());
      return;
    }
    watching(answer);
    if (!announced) {
      actions.add(new PromotionAction.Poll(reign.primary()));
    }
  }

  private void watching(PollAnswer answer) {
    if (answer.fencedAt().isAfter(reign.term())) {
      startPromotion(answer.endpoint() + " is fenced at term " + answer.fencedAt());
      return;
    }
    if (!answer.endpoint().equals(reign.primary())) {
      bringBack(answer);
      return;
    }
    if (!announced) {
      announce(answer.received());
    }
  }

  /** Makes an endpoint of an earlier term follow the primary. */
  private void bringBack(PollAnswer answer) {
    boolean follows = answer.received().term().equals(reign.term());
    if (follows || now().isBefore(nextFollow)) {
      return;
    }
    nextFollow = now().plus(settings.retryInterval());
    actions.add(new PromotionAction.Fence(answer.endpoint(), reign.term()));
    actions.add(new PromotionAction.Follow(answer.endpoint(), reign.primary(), reign.term()));
  }

  private void suspecting(PollAnswer answer) {
    if (answer.endpoint().equals(reign.primary())) {
      phase = new PromotionPhase.Watching();
      explain("the primary " + reign.primary() + " answers again");
    }
    watching(answer);
  }

  /** A primary that answers before the term is claimed goes on to serve, unless it is leaving. */
  private void claiming(PollAnswer answer) {
    boolean stillPrimary = complete && answer.endpoint().equals(reign.primary());
    boolean fenced = watch.highestTerm().isAfter(reign.term());
    if (!stillPrimary || fenced || watch.leaving().contains(answer.endpoint())) {
      return;
    }
    phase = new PromotionPhase.Watching();
    rows.write(reign.term(), Optional.of(reign.primary()), now(), actions);
    announce(answer.received());
  }

  private void pollFailed(EndpointId endpoint) {
    watch.failed(endpoint);
    if (!endpoint.equals(reign.primary())) {
      return;
    }
    switch (phase) {
      case PromotionPhase.TakingOver takingOver -> actions.add(new PromotionAction.Poll(endpoint));
      case PromotionPhase.Watching() -> suspect();
      case PromotionPhase.Suspecting suspecting -> {
        actions.add(new PromotionAction.Poll(endpoint));
        weigh(suspecting);
      }
      case PromotionPhase.Promoting promoting -> restartIfLost(endpoint);
      case PromotionPhase.Confirming confirming -> restartIfLost(endpoint);
      default -> {
        // A fence is sent again by the tick.
      }
    }
  }

  private void suspect() {
    round++;
    phase = new PromotionPhase.Suspecting(round, now(), Set.of(ownZone), Set.of());
    actions.add(new PromotionAction.AskPeers(reign.primary(), round));
    actions.add(new PromotionAction.Poll(reign.primary()));
  }

  private void evidenceReceived(PromotionInput.EvidenceReceived evidence) {
    if (phase instanceof PromotionPhase.Suspecting suspecting
        && suspecting.round() == evidence.round()) {
      PromotionPhase.Suspecting next = suspecting.with(evidence.zone(), evidence.reachable());
      phase = next;
      weigh(next);
    }
  }

  private void weigh(PromotionPhase.Suspecting suspecting) {
    if (isOwnSightLost() && suspecting.lost().size() >= settings.zonesNeeded()) {
      startPromotion(
          "the primary " + reign.primary() + " is lost to the zones " + suspecting.lost());
    }
  }

  private boolean isOwnSightLost() {
    return watch.missed(reign.primary()) >= settings.missedPolls();
  }

  private void endpointLeaving(EndpointId endpoint) {
    watch.listedAsLeaving(endpoint);
    boolean watching =
        phase instanceof PromotionPhase.Watching || phase instanceof PromotionPhase.Suspecting;
    if (watching && endpoint.equals(reign.primary()) && hasSuccessor()) {
      startPromotion("the primary " + endpoint + " is leaving");
    }
  }

  /** Without one that stays and answers, leaving endpoints would replace each other for ever. */
  private boolean hasSuccessor() {
    return reign.members().stream()
        .filter(member -> !watch.leaving().contains(member))
        .anyMatch(member -> watch.missed(member) == 0);
  }

  private void startPromotion(String reason) {
    announced = false;
    actions.add(new PromotionAction.Withdraw(reign.term()));
    Term next = later(watch.highestTerm().next(), rows.firstOwn());
    explain(reason + "; starting term " + next);
    if (rows.isReserved(next)) {
      startFencing(next);
      return;
    }
    phase = new PromotionPhase.Claiming(next);
    rows.write(next, Optional.empty(), now(), actions);
  }

  private void rowWritten(RowVersion version) {
    rows.written(version, now(), actions);
    afterWrite();
  }

  private void rowRead(GroupRow row) {
    if (!rows.read(row, now(), actions)) {
      // With the lease held this is a late write of an earlier home.
      explain("the row was written by " + row.version().writer() + "; taking over from it");
      takeOver(row);
      return;
    }
    afterWrite();
  }

  private void afterWrite() {
    if (phase instanceof PromotionPhase.Claiming(Term term) && rows.isReserved(term)) {
      startFencing(term);
    }
  }

  private void startFencing(Term term) {
    watch.seen(term);
    phase = new PromotionPhase.Fencing(term, Map.of(), now(), Optional.empty());
    fenceAll(term, Set.of());
  }

  private void fenceAll(Term term, Set<EndpointId> except) {
    reign.members().stream()
        .filter(member -> !except.contains(member))
        .sorted()
        .forEach(member -> actions.add(new PromotionAction.Fence(member, term)));
  }

  private void fenceAnswered(PromotionInput.FenceAnswered answer) {
    watch.seen(answer.fencedAt());
    if (!(phase instanceof PromotionPhase.Fencing fencing)
        || !answer.asked().equals(fencing.term())) {
      return;
    }
    if (answer.fencedAt().isAfter(fencing.term())) {
      startPromotion(answer.endpoint() + " is fenced at term " + answer.fencedAt());
      return;
    }
    PromotionPhase.Fencing next = fencing.with(answer.endpoint(), answer.received());
    if (next.majorityAt().isEmpty() && choice().isMajority(next.fenced())) {
      next = next.withMajorityAt(now());
    }
    phase = next;
    promoteIfReady(next);
  }

  private void promoteIfReady(PromotionPhase.Fencing fencing) {
    if (fencing.majorityAt().isEmpty()) {
      return;
    }
    Duration waited = Duration.between(fencing.majorityAt().get(), now());
    // A candidate that never served is as good as any other.
    boolean acceptEarlier = !complete || waited.compareTo(settings.fenceGrace()) >= 0;
    choice()
        .choose(fencing.fenced(), acceptEarlier)
        .ifPresent(candidate -> promote(candidate, fencing));
  }

  private void promote(EndpointId candidate, PromotionPhase.Fencing fencing) {
    reign = new Reign(fencing.term(), candidate, reign.members());
    complete = false;
    watch.forgetMissed(candidate);
    phase = new PromotionPhase.Promoting(fencing.term(), candidate, now());
    explain("promoting " + candidate + ", the most advanced of " + fencing.fenced());
    actions.add(new PromotionAction.StartTerm(reign));
    actions.add(new PromotionAction.Promote(candidate, fencing.term()));
  }

  private void promoteAnswered(PromotionInput.PromoteAnswered answer) {
    if (!(phase instanceof PromotionPhase.Promoting promoting)
        || !promoting.candidate().equals(answer.endpoint())
        || !promoting.term().equals(answer.start().term())) {
      return;
    }
    PromotionPhase.Confirming confirming =
        new PromotionPhase.Confirming(answer.start(), Set.of(), now());
    phase = confirming;
    followAll(confirming);
    serveIfConfirmed(confirming);
  }

  private void followAll(PromotionPhase.Confirming confirming) {
    reign.members().stream()
        .filter(member -> reign.isReplica(member) && !confirming.following().contains(member))
        .sorted()
        .forEach(
            member -> {
              actions.add(new PromotionAction.Fence(member, reign.term()));
              actions.add(new PromotionAction.Follow(member, reign.primary(), reign.term()));
              actions.add(new PromotionAction.Poll(member));
            });
  }

  private void confirming(PollAnswer answer, PromotionPhase.Confirming confirming) {
    boolean follows = answer.received().compareTo(confirming.start()) >= 0;
    if (!follows || !reign.isReplica(answer.endpoint())) {
      return;
    }
    PromotionPhase.Confirming next = confirming.with(answer.endpoint());
    phase = next;
    serveIfConfirmed(next);
  }

  private void serveIfConfirmed(PromotionPhase.Confirming confirming) {
    if (confirming.following().size() < reign.confirmationsNeeded()) {
      return;
    }
    phase = new PromotionPhase.Watching();
    complete = true;
    announce(confirming.start());
    rows.write(reign.term(), Optional.of(reign.primary()), now(), actions);
  }

  private void announce(Position position) {
    announced = true;
    explain("serving term " + reign.term() + " with the primary " + reign.primary());
    actions.add(new PromotionAction.Announce(reign, position));
  }

  private void promoteFailed(PromotionInput.PromoteFailed failed) {
    boolean current =
        phase instanceof PromotionPhase.Promoting promoting
            && promoting.term().equals(failed.term())
            && promoting.candidate().equals(failed.endpoint());
    if (current) {
      startPromotion("the candidate " + failed.endpoint() + " could not be promoted");
    }
  }

  private void restartIfLost(EndpointId candidate) {
    if (watch.missed(candidate) >= settings.missedPolls()) {
      startPromotion("the candidate " + candidate + " is lost");
    } else {
      actions.add(new PromotionAction.Poll(candidate));
    }
  }

  private void tick() {
    rows.tick(now(), actions);
    switch (phase) {
      case PromotionPhase.TakingOver takingOver -> pollAll();
      case PromotionPhase.Suspecting suspecting -> tickSuspecting(suspecting);
      case PromotionPhase.Fencing fencing -> tickFencing(fencing);
      case PromotionPhase.Promoting promoting -> {
        if (isOver(promoting.since(), settings.promoteTimeout())) {
          startPromotion("the candidate " + promoting.candidate() + " took too long");
        }
      }
      case PromotionPhase.Confirming confirming -> tickConfirming(confirming);
      default -> {
        // Idle and watching need no time; a claim is sent again with the row.
      }
    }
  }

  private void tickSuspecting(PromotionPhase.Suspecting suspecting) {
    if (!isOver(suspecting.askedAt(), settings.evidenceTimeout())) {
      return;
    }
    if (isOwnSightLost() && !suspecting.seen().isEmpty()) {
      AvailabilityZone zone = suspecting.seen().stream().sorted().findFirst().orElseThrow();
      explain("only this zone lost sight of the primary " + reign.primary());
      actions.add(new PromotionAction.OfferHome(zone));
    }
    suspect();
  }

  private void tickFencing(PromotionPhase.Fencing fencing) {
    promoteIfReady(fencing);
    if (phase != fencing || !isOver(fencing.sentAt(), settings.retryInterval())) {
      return;
    }
    phase = fencing.sentAgainAt(now());
    fenceAll(fencing.term(), fencing.fenced().keySet());
  }

  private void tickConfirming(PromotionPhase.Confirming confirming) {
    actions.add(new PromotionAction.Poll(reign.primary()));
    if (!isOver(confirming.sentAt(), settings.retryInterval())) {
      return;
    }
    PromotionPhase.Confirming again = confirming.sentAgainAt(now());
    phase = again;
    followAll(again);
  }

  private void pollAll() {
    reign.members().stream()
        .sorted()
        .forEach(member -> actions.add(new PromotionAction.Poll(member)));
  }

  private CandidateChoice choice() {
    return new CandidateChoice(reign, watch.leaving());
  }

  private boolean isOver(Instant since, Duration limit) {
    return Duration.between(since, now()).compareTo(limit) >= 0;
  }

  private static Term later(Term first, Term second) {
    return first.isAfter(second) ? first : second;
  }

  private Instant now() {
    return clock.instant();
  }

  private void explain(String explanation) {
    actions.add(new PromotionAction.Explain(explanation));
  }
}

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
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * Promotes a new primary in a term that only this home can start, after a majority of the endpoints
 * has been fenced against earlier terms.
 *
 * <p>Terms are reserved in advance by a conditional write, so a promotion needs no write and works
 * while the table service is down. A suspected primary is replaced only if it is unreachable from
 * {@link PromotionSettings#requiredZones} availability zones, normally two. The most advanced
 * fenced endpoint is promoted; if its promotion fails, the next term is started. Every step checks
 * the lease, so a home that was paused beyond the end of its lease takes no further action. Not
 * thread-safe.
 */
public final class FencingPromotionStateMachine implements PromotionStateMachine {
  private final VmId self;
  private final AvailabilityZone ownZone;
  private final InstantSource clock;
  private final LeaseStatus lease;
  private final PromotionSettings settings;
  private final RandomGenerator random;

  private PromotionPhase phase = new PromotionPhase.Idle();
  private EndpointObservations observations = new EndpointObservations();
  private GroupRowWriter rowWriter;
  private TermMembership reign;
  private boolean promotionComplete;
  private boolean announced;
  private Instant leaseGainedAt = Instant.MIN;
  private Instant nextFollowAt = Instant.MIN;
  private long evidenceRound;
  private List<PromotionAction> actions = new ArrayList<>();

  /** Creates a machine that is idle until the lease is gained. */
  public FencingPromotionStateMachine(
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
      stop("the lease expired");
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
      case PromotionInput.LeaseLost() -> stop("the lease is no longer held");
      case PromotionInput.PollAnswered(PollResponse answer) -> pollAnswered(answer);
      case PromotionInput.PollFailed(EndpointId endpoint) -> pollFailed(endpoint);
      case PromotionInput.EvidenceReceived evidence -> evidenceReceived(evidence);
      case PromotionInput.RowWritten(RowVersion version) -> rowWritten(version);
      case PromotionInput.RowRefused refused -> actions.add(new PromotionAction.ReadRow());
      case PromotionInput.RowRead(GroupRow row) -> rowRead(row);
      case PromotionInput.FenceAnswered answer -> fenceAnswered(answer);
      case PromotionInput.PromoteAnswered answer -> promoteAnswered(answer);
      case PromotionInput.PromoteFailed failed -> promoteFailed(failed);
      case PromotionInput.EndpointDraining(EndpointId endpoint) -> endpointLeaving(endpoint);
      case PromotionInput.Tick() -> tick();
    }
  }

  private void takeOver(GroupRow row) {
    rowWriter = new GroupRowWriter(self, random, settings, row);
    observations = new EndpointObservations();
    observations.observeTerm(row.term());
    EndpointId primary = row.primary().orElseGet(() -> Collections.min(row.members()));
    reign = new TermMembership(row.term(), primary, row.members());
    promotionComplete = row.primary().isPresent();
    announced = false;
    leaseGainedAt = now();
    phase = new PromotionPhase.TakingOver(Set.of());
    actions.add(new PromotionAction.SuspendService(row.term()));
    rowWriter.write(row.term(), row.primary(), now(), actions);
    pollAll();
  }

  private void stop(String reason) {
    phase = new PromotionPhase.Idle();
    actions.add(new PromotionAction.SuspendService(reign.term()));
    explain("stopped monitoring the primary: " + reason);
  }

  private void pollAnswered(PollResponse answer) {
    // A poll sent before the lease was gained does not show what other homes did since.
    boolean isCurrent = answer.askedAt().isAfter(leaseGainedAt);
    if (!isCurrent || !reign.members().contains(answer.endpoint())) {
      return;
    }
    observations.recordPollAnswer(answer);
    switch (phase) {
      case PromotionPhase.TakingOver takingOver -> handlePollWhileTakingOver(answer, takingOver);
      case PromotionPhase.Watching() -> handlePollWhileWatching(answer);
      case PromotionPhase.Suspecting suspecting -> handlePollWhileSuspecting(answer);
      case PromotionPhase.Claiming claiming -> handlePollWhileClaiming(answer);
      case PromotionPhase.Confirming confirming -> handlePollWhileConfirming(answer, confirming);
      default -> {
        // The other phases depend on the responses to their own requests, not on polls.
      }
    }
  }

  private void handlePollWhileTakingOver(
      PollResponse answer, PromotionPhase.TakingOver takingOver) {
    PromotionPhase.TakingOver next = takingOver.with(answer.endpoint());
    phase = next;
    if (next.answered().size() < reign.majority()) {
      return;
    }
    phase = new PromotionPhase.Watching();
    if (!promotionComplete) {
      startPromotion("an earlier home did not complete its promotion");
      return;
    }
    if (observations.highestTerm().isAfter(reign.term())) {
      startPromotion("an endpoint has observed the later term " + observations.highestTerm());
      return;
    }
    handlePollWhileWatching(answer);
    if (!announced) {
      actions.add(new PromotionAction.Poll(reign.primary()));
    }
  }

  private void handlePollWhileWatching(PollResponse answer) {
    if (answer.fencedAt().isAfter(reign.term())) {
      startPromotion(answer.endpoint() + " is fenced at term " + answer.fencedAt());
      return;
    }
    if (!answer.endpoint().equals(reign.primary())) {
      resyncReplica(answer);
      return;
    }
    if (!announced) {
      announce(answer.received());
    }
  }

  /** Makes an endpoint whose log is not of the current term follow the primary. */
  private void resyncReplica(PollResponse answer) {
    boolean follows = answer.received().term().equals(reign.term());
    if (follows || now().isBefore(nextFollowAt)) {
      return;
    }
    nextFollowAt = now().plus(settings.retryInterval());
    actions.add(new PromotionAction.Fence(answer.endpoint(), reign.term()));
    actions.add(new PromotionAction.Follow(answer.endpoint(), reign.primary(), reign.term()));
  }

  private void handlePollWhileSuspecting(PollResponse answer) {
    if (answer.endpoint().equals(reign.primary())) {
      phase = new PromotionPhase.Watching();
      explain("the primary " + reign.primary() + " answered a poll again");
    }
    handlePollWhileWatching(answer);
  }

  /**
   * Resumes serving with a primary that answers before the next term is reserved, unless its own
   * promotion is incomplete, it is leaving, or an endpoint has observed a later term.
   */
  private void handlePollWhileClaiming(PollResponse answer) {
    boolean stillPrimary = promotionComplete && answer.endpoint().equals(reign.primary());
    boolean fenced = observations.highestTerm().isAfter(reign.term());
    if (!stillPrimary || fenced || observations.leaving().contains(answer.endpoint())) {
      return;
    }
    phase = new PromotionPhase.Watching();
    rowWriter.write(reign.term(), Optional.of(reign.primary()), now(), actions);
    announce(answer.received());
  }

  private void pollFailed(EndpointId endpoint) {
    observations.recordMissedPoll(endpoint);
    if (!endpoint.equals(reign.primary())) {
      return;
    }
    switch (phase) {
      case PromotionPhase.TakingOver takingOver -> actions.add(new PromotionAction.Poll(endpoint));
      case PromotionPhase.Watching() -> suspect();
      case PromotionPhase.Suspecting suspecting -> {
        actions.add(new PromotionAction.Poll(endpoint));
        promoteIfUnreachable(suspecting);
      }
      case PromotionPhase.Promoting promoting -> restartIfUnreachable(endpoint);
      case PromotionPhase.Confirming confirming -> restartIfUnreachable(endpoint);
      default -> {
        // Fence requests are resent by tick().
      }
    }
  }

  private void suspect() {
    evidenceRound++;
    phase = new PromotionPhase.Suspecting(evidenceRound, now(), Set.of(ownZone), Set.of());
    actions.add(new PromotionAction.RequestPeerEvidence(reign.primary(), evidenceRound));
    actions.add(new PromotionAction.Poll(reign.primary()));
  }

  private void evidenceReceived(PromotionInput.EvidenceReceived evidence) {
    if (phase instanceof PromotionPhase.Suspecting suspecting
        && suspecting.round() == evidence.round()) {
      PromotionPhase.Suspecting next = suspecting.with(evidence.zone(), evidence.reachable());
      phase = next;
      promoteIfUnreachable(next);
    }
  }

  private void promoteIfUnreachable(PromotionPhase.Suspecting suspecting) {
    if (isUnreachableFromHere()
        && suspecting.unreachableFrom().size() >= settings.requiredZones()) {
      startPromotion(
          "the primary "
              + reign.primary()
              + " is unreachable from the zones "
              + suspecting.unreachableFrom());
    }
  }

  private boolean isUnreachableFromHere() {
    return observations.missedPolls(reign.primary()) >= settings.missedPollThreshold();
  }

  private void endpointLeaving(EndpointId endpoint) {
    observations.markLeaving(endpoint);
    boolean watching =
        phase instanceof PromotionPhase.Watching || phase instanceof PromotionPhase.Suspecting;
    if (watching && endpoint.equals(reign.primary()) && hasAvailableReplica()) {
      startPromotion("the primary " + endpoint + " is leaving");
    }
  }

  /**
   * Returns whether a member that is not leaving answers polls. Without this check, leaving
   * endpoints would replace each other endlessly.
   */
  private boolean hasAvailableReplica() {
    return reign.members().stream()
        .filter(member -> !observations.leaving().contains(member))
        .anyMatch(member -> observations.missedPolls(member) == 0);
  }

  private void startPromotion(String reason) {
    announced = false;
    actions.add(new PromotionAction.SuspendService(reign.term()));
    Term next = latest(observations.highestTerm().next(), rowWriter.firstUnusedTerm());
    explain(reason + "; starting term " + next);
    if (rowWriter.isReserved(next)) {
      startFencing(next);
      return;
    }
    phase = new PromotionPhase.Claiming(next);
    rowWriter.write(next, Optional.empty(), now(), actions);
  }

  private void rowWritten(RowVersion version) {
    rowWriter.onWritten(version, now(), actions);
    startFencingIfReserved();
  }

  private void rowRead(GroupRow row) {
    if (!rowWriter.onRead(row, now(), actions)) {
      // This home holds the lease, so the row is a delayed write of an earlier home.
      explain(
          "the row was written by another home, "
              + row.version().writer()
              + "; taking over from it");
      takeOver(row);
      return;
    }
    startFencingIfReserved();
  }

  private void startFencingIfReserved() {
    if (phase instanceof PromotionPhase.Claiming(Term term) && rowWriter.isReserved(term)) {
      startFencing(term);
    }
  }

  private void startFencing(Term term) {
    observations.observeTerm(term);
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
    observations.observeTerm(answer.fencedAt());
    if (!(phase instanceof PromotionPhase.Fencing fencing)
        || !answer.asked().equals(fencing.term())) {
      return;
    }
    if (answer.fencedAt().isAfter(fencing.term())) {
      startPromotion(answer.endpoint() + " is fenced at term " + answer.fencedAt());
      return;
    }
    PromotionPhase.Fencing next = fencing.with(answer.endpoint(), answer.received());
    if (next.majorityAt().isEmpty() && selector().isMajority(next.fenced())) {
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
    // If the previous primary never served, there is no reason to avoid selecting it.
    boolean allowPrevious =
        !promotionComplete || waited.compareTo(settings.fenceGracePeriod()) >= 0;
    selector()
        .select(fencing.fenced(), allowPrevious)
        .ifPresent(candidate -> promote(candidate, fencing));
  }

  private void promote(EndpointId candidate, PromotionPhase.Fencing fencing) {
    reign = new TermMembership(fencing.term(), candidate, reign.members());
    promotionComplete = false;
    observations.resetMissedPolls(candidate);
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
    serveIfEnoughFollow(confirming);
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

  private void handlePollWhileConfirming(
      PollResponse answer, PromotionPhase.Confirming confirming) {
    boolean follows = answer.received().compareTo(confirming.start()) >= 0;
    if (!follows || !reign.isReplica(answer.endpoint())) {
      return;
    }
    PromotionPhase.Confirming next = confirming.with(answer.endpoint());
    phase = next;
    serveIfEnoughFollow(next);
  }

  private void serveIfEnoughFollow(PromotionPhase.Confirming confirming) {
    if (confirming.following().size() < reign.requiredConfirmations()) {
      return;
    }
    phase = new PromotionPhase.Watching();
    promotionComplete = true;
    announce(confirming.start());
    rowWriter.write(reign.term(), Optional.of(reign.primary()), now(), actions);
  }

  private void announce(Position position) {
    announced = true;
    explain("serving term " + reign.term() + " with the primary " + reign.primary());
    actions.add(new PromotionAction.AnnouncePrimary(reign, position));
  }

  private void promoteFailed(PromotionInput.PromoteFailed failed) {
    boolean isCurrent =
        phase instanceof PromotionPhase.Promoting promoting
            && promoting.term().equals(failed.term())
            && promoting.candidate().equals(failed.endpoint());
    if (isCurrent) {
      startPromotion("the candidate " + failed.endpoint() + " could not be promoted");
    }
  }

  private void restartIfUnreachable(EndpointId candidate) {
    if (observations.missedPolls(candidate) >= settings.missedPollThreshold()) {
      startPromotion("the candidate " + candidate + " is unreachable");
    } else {
      actions.add(new PromotionAction.Poll(candidate));
    }
  }

  private void tick() {
    rowWriter.tick(now(), actions);
    switch (phase) {
      case PromotionPhase.TakingOver takingOver -> pollAll();
      case PromotionPhase.Suspecting suspecting -> tickSuspecting(suspecting);
      case PromotionPhase.Fencing fencing -> tickFencing(fencing);
      case PromotionPhase.Promoting promoting -> {
        if (hasElapsed(promoting.since(), settings.promoteTimeout())) {
          startPromotion("the candidate " + promoting.candidate() + " was not promoted in time");
        }
      }
      case PromotionPhase.Confirming confirming -> tickConfirming(confirming);
      default -> {
        // Idle and Watching have no timeouts; the row writer retries the write of a claim.
      }
    }
  }

  private void tickSuspecting(PromotionPhase.Suspecting suspecting) {
    if (!hasElapsed(suspecting.askedAt(), settings.evidenceTimeout())) {
      return;
    }
    if (isUnreachableFromHere() && !suspecting.reachableFrom().isEmpty()) {
      AvailabilityZone zone =
          suspecting.reachableFrom().stream().sorted().findFirst().orElseThrow();
      explain(
          "offering the home to another zone: only this zone cannot reach the primary "
              + reign.primary());
      actions.add(new PromotionAction.OfferHome(zone));
    }
    suspect();
  }

  private void tickFencing(PromotionPhase.Fencing fencing) {
    promoteIfReady(fencing);
    if (phase != fencing || !hasElapsed(fencing.sentAt(), settings.retryInterval())) {
      return;
    }
    phase = fencing.resentAt(now());
    fenceAll(fencing.term(), fencing.fenced().keySet());
  }

  private void tickConfirming(PromotionPhase.Confirming confirming) {
    actions.add(new PromotionAction.Poll(reign.primary()));
    if (!hasElapsed(confirming.sentAt(), settings.retryInterval())) {
      return;
    }
    PromotionPhase.Confirming again = confirming.resentAt(now());
    phase = again;
    followAll(again);
  }

  private void pollAll() {
    reign.members().stream()
        .sorted()
        .forEach(member -> actions.add(new PromotionAction.Poll(member)));
  }

  private CandidateSelector selector() {
    return new CandidateSelector(reign, observations.leaving());
  }

  private boolean hasElapsed(Instant since, Duration limit) {
    return Duration.between(since, now()).compareTo(limit) >= 0;
  }

  private static Term latest(Term first, Term second) {
    return first.isAfter(second) ? first : second;
  }

  private Instant now() {
    return clock.instant();
  }

  private void explain(String explanation) {
    actions.add(new PromotionAction.LogDecision(explanation));
  }
}

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
  private TermMembership membership;
  private boolean promotionComplete;
  private boolean announced;
  private Instant leaseGainedAt = Instant.MIN;
  private Instant nextFollowAt = Instant.MIN;
  private long evidenceRound;
  private List<PromotionAction> actions = new ArrayList<>();

  /** Creates a state machine that is idle until the lease is gained. */
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
      actions.add(new PromotionAction.EndService());
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
      case PromotionInput.PollAnswered(PollResponse response) -> pollAnswered(response);
      case PromotionInput.PollFailed(EndpointId endpoint) -> pollFailed(endpoint);
      case PromotionInput.EvidenceReceived evidence -> evidenceReceived(evidence);
      case PromotionInput.RowWritten(RowVersion version) -> rowWritten(version);
      case PromotionInput.RowRefused refused -> actions.add(new PromotionAction.ReadRow());
      case PromotionInput.RowRead(GroupRow row) -> rowRead(row);
      case PromotionInput.FenceAnswered response -> fenceAnswered(response);
      case PromotionInput.PromoteAnswered response -> promoteAnswered(response);
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
    membership = new TermMembership(row.term(), primary, row.members());
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
    actions.add(new PromotionAction.SuspendService(membership.term()));
    logDecision("stopped monitoring the primary: " + reason);
  }

  private void pollAnswered(PollResponse response) {
    // A poll sent before the lease was gained does not show what other homes did since.
    boolean isCurrent = response.askedAt().isAfter(leaseGainedAt);
    if (!isCurrent || !membership.members().contains(response.endpoint())) {
      return;
    }
    observations.recordPollResponse(response);
    switch (phase) {
      case PromotionPhase.TakingOver takingOver -> handlePollWhileTakingOver(response, takingOver);
      case PromotionPhase.Monitoring() -> handlePollWhileMonitoring(response);
      case PromotionPhase.Suspecting suspecting -> handlePollWhileSuspecting(response);
      case PromotionPhase.Claiming claiming -> handlePollWhileClaiming(response);
      case PromotionPhase.Confirming confirming -> handlePollWhileConfirming(response, confirming);
      default -> {
        // The other phases depend on the responses to their own requests, not on polls.
      }
    }
  }

  private void handlePollWhileTakingOver(
      PollResponse response, PromotionPhase.TakingOver takingOver) {
    PromotionPhase.TakingOver next = takingOver.with(response.endpoint());
    phase = next;
    if (next.answered().size() < membership.majority()) {
      return;
    }
    phase = new PromotionPhase.Monitoring();
    if (!promotionComplete) {
      startPromotion("an earlier home did not complete its promotion");
      return;
    }
    if (observations.highestTerm().isAfter(membership.term())) {
      startPromotion("an endpoint has observed the later term " + observations.highestTerm());
      return;
    }
    handlePollWhileMonitoring(response);
    if (!announced) {
      actions.add(new PromotionAction.Poll(membership.primary()));
    }
  }

  private void handlePollWhileMonitoring(PollResponse response) {
    if (response.fencedAt().isAfter(membership.term())) {
      startPromotion(response.endpoint() + " is fenced at term " + response.fencedAt());
      return;
    }
    if (!response.endpoint().equals(membership.primary())) {
      resyncReplica(response);
      return;
    }
    if (!announced) {
      announcePrimary(response.received());
    }
  }

  /** Makes an endpoint whose log is not of the current term follow the primary. */
  private void resyncReplica(PollResponse response) {
    boolean follows = response.received().term().equals(membership.term());
    if (follows || now().isBefore(nextFollowAt)) {
      return;
    }
    nextFollowAt = now().plus(settings.retryInterval());
    actions.add(new PromotionAction.Fence(response.endpoint(), membership.term()));
    actions.add(
        new PromotionAction.Follow(response.endpoint(), membership.primary(), membership.term()));
  }

  private void handlePollWhileSuspecting(PollResponse response) {
    if (response.endpoint().equals(membership.primary())) {
      phase = new PromotionPhase.Monitoring();
      logDecision("the primary " + membership.primary() + " answered a poll again");
    }
    handlePollWhileMonitoring(response);
  }

  /**
   * Resumes serving with a primary that answers before the next term is reserved, unless its own
   * promotion is incomplete, it is leaving, or an endpoint has observed a later term.
   */
  private void handlePollWhileClaiming(PollResponse response) {
    boolean stillPrimary = promotionComplete && response.endpoint().equals(membership.primary());
    boolean fenced = observations.highestTerm().isAfter(membership.term());
    if (!stillPrimary || fenced || observations.leaving().contains(response.endpoint())) {
      return;
    }
    phase = new PromotionPhase.Monitoring();
    rowWriter.write(membership.term(), Optional.of(membership.primary()), now(), actions);
    announcePrimary(response.received());
  }

  private void pollFailed(EndpointId endpoint) {
    observations.recordMissedPoll(endpoint);
    if (!endpoint.equals(membership.primary())) {
      return;
    }
    switch (phase) {
      case PromotionPhase.TakingOver takingOver -> actions.add(new PromotionAction.Poll(endpoint));
      case PromotionPhase.Monitoring() -> suspect();
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
    actions.add(new PromotionAction.RequestPeerEvidence(membership.primary(), evidenceRound));
    actions.add(new PromotionAction.Poll(membership.primary()));
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
              + membership.primary()
              + " is unreachable from the zones "
              + suspecting.unreachableFrom());
    }
  }

  private boolean isUnreachableFromHere() {
    return observations.missedPolls(membership.primary()) >= settings.missedPollThreshold();
  }

  private void endpointLeaving(EndpointId endpoint) {
    observations.markLeaving(endpoint);
    boolean monitoring =
        phase instanceof PromotionPhase.Monitoring || phase instanceof PromotionPhase.Suspecting;
    if (monitoring && endpoint.equals(membership.primary()) && hasAvailableReplica()) {
      startPromotion("the primary " + endpoint + " is leaving");
    }
  }

  /**
   * Returns whether a member that is not leaving answers polls. Without this check, leaving
   * endpoints would replace each other endlessly.
   */
  private boolean hasAvailableReplica() {
    return membership.members().stream()
        .filter(member -> !observations.leaving().contains(member))
        .anyMatch(member -> observations.missedPolls(member) == 0);
  }

  private void startPromotion(String reason) {
    announced = false;
    actions.add(new PromotionAction.SuspendService(membership.term()));
    Term next = latest(observations.highestTerm().next(), rowWriter.firstUnusedTerm());
    logDecision(reason + "; starting term " + next);
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
      logDecision(
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
    membership.members().stream()
        .filter(member -> !except.contains(member))
        .sorted()
        .forEach(member -> actions.add(new PromotionAction.Fence(member, term)));
  }

  private void fenceAnswered(PromotionInput.FenceAnswered response) {
    observations.observeTerm(response.fencedAt());
    if (!(phase instanceof PromotionPhase.Fencing fencing)
        || !response.asked().equals(fencing.term())) {
      return;
    }
    if (response.fencedAt().isAfter(fencing.term())) {
      startPromotion(response.endpoint() + " is fenced at term " + response.fencedAt());
      return;
    }
    PromotionPhase.Fencing next = fencing.with(response.endpoint(), response.received());
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
    membership = new TermMembership(fencing.term(), candidate, membership.members());
    promotionComplete = false;
    observations.resetMissedPolls(candidate);
    phase = new PromotionPhase.Promoting(fencing.term(), candidate, now());
    logDecision("promoting " + candidate + ", the most advanced of " + fencing.fenced());
    actions.add(new PromotionAction.StartTerm(membership));
    actions.add(new PromotionAction.Promote(candidate, fencing.term()));
  }

  private void promoteAnswered(PromotionInput.PromoteAnswered response) {
    if (!(phase instanceof PromotionPhase.Promoting promoting)
        || !promoting.candidate().equals(response.endpoint())
        || !promoting.term().equals(response.start().term())) {
      return;
    }
    PromotionPhase.Confirming confirming =
        new PromotionPhase.Confirming(response.start(), Set.of(), now());
    phase = confirming;
    followAll(confirming);
    serveIfEnoughFollow(confirming);
  }

  private void followAll(PromotionPhase.Confirming confirming) {
    membership.members().stream()
        .filter(member -> membership.isReplica(member) && !confirming.following().contains(member))
        .sorted()
        .forEach(
            member -> {
              actions.add(new PromotionAction.Fence(member, membership.term()));
              actions.add(
                  new PromotionAction.Follow(member, membership.primary(), membership.term()));
              actions.add(new PromotionAction.Poll(member));
            });
  }

  private void handlePollWhileConfirming(
      PollResponse response, PromotionPhase.Confirming confirming) {
    boolean follows = response.received().compareTo(confirming.start()) >= 0;
    if (!follows || !membership.isReplica(response.endpoint())) {
      return;
    }
    PromotionPhase.Confirming next = confirming.with(response.endpoint());
    phase = next;
    serveIfEnoughFollow(next);
  }

  private void serveIfEnoughFollow(PromotionPhase.Confirming confirming) {
    if (confirming.following().size() < membership.requiredConfirmations()) {
      return;
    }
    phase = new PromotionPhase.Monitoring();
    promotionComplete = true;
    announcePrimary(confirming.start());
    rowWriter.write(membership.term(), Optional.of(membership.primary()), now(), actions);
  }

  private void announcePrimary(Position position) {
    announced = true;
    logDecision("serving term " + membership.term() + " with the primary " + membership.primary());
    actions.add(new PromotionAction.AnnouncePrimary(membership, position));
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
        // Idle and Monitoring have no timeouts; the row writer retries the write of a claim.
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
      logDecision(
          "offering the home to another zone: only this zone cannot reach the primary "
              + membership.primary());
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
    actions.add(new PromotionAction.Poll(membership.primary()));
    if (!hasElapsed(confirming.sentAt(), settings.retryInterval())) {
      return;
    }
    PromotionPhase.Confirming again = confirming.resentAt(now());
    phase = again;
    followAll(again);
  }

  private void pollAll() {
    membership.members().stream()
        .sorted()
        .forEach(member -> actions.add(new PromotionAction.Poll(member)));
  }

  private CandidateSelector selector() {
    return new CandidateSelector(membership, observations.leaving());
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

  private void logDecision(String explanation) {
    actions.add(new PromotionAction.LogDecision(explanation));
  }
}

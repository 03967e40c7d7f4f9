package org.mimosacleat.core.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;

class FencingPromotionStateMachineTest {
  private static final EndpointId A = new EndpointId("a");
  private static final EndpointId B = new EndpointId("b");
  private static final EndpointId C = new EndpointId("c");
  private static final Set<EndpointId> MEMBERS = Set.of(A, B, C);
  private static final VmId SELF = new VmId("home");
  private static final RowVersion FIRST_VERSION = new RowVersion(7, new VmId("earlier"), 0);
  private static final PromotionSettings SETTINGS = PromotionSettings.TABLE_LEASE;

  private final PausedClock clock = new PausedClock();
  private final List<PromotionAction> actions = new ArrayList<>();
  private boolean leaseHeld = true;
  private final PromotionStateMachine machine =
      new FencingPromotionStateMachine(
          SELF, new AvailabilityZone("tamaki"), clock, () -> leaseHeld, new Random(1), SETTINGS);

  @Test
  void primaryUnreachableFromTwoZonesIsReplacedByTheMostAdvancedReplicaWithoutTableWrite() {
    serveWithReservedTerms();
    makePrimaryUnreachable(true);

    assertTrue(actions.containsAll(List.of(fence(A, 2), fence(B, 2), fence(C, 2))));
    process(fenced(B, 2, 90), fenced(C, 2, 100));
    assertEquals(promote(C, 2), actions.getLast());
    assertEquals(new PromotionAction.StartTerm(membership(2, C)), actions.get(actions.size() - 2));
    process(new PromotionInput.PromoteAnswered(C, at(2, 101)));
    assertTrue(actions.contains(new PromotionAction.Follow(B, C, new Term(2))));
    assertFalse(actions.stream().anyMatch(PromotionAction.AnnouncePrimary.class::isInstance));
    process(answered(B, at(2, 101), 2));
    assertTrue(actions.contains(new PromotionAction.AnnouncePrimary(membership(2, C), at(2, 101))));
    assertEquals(Optional.of(C), lastWrite().row().primary());
  }

  @Test
  void primaryUnreachableFromOneProxyStaysAndTheHomeIsOffered() {
    serveWithReservedTerms();
    makePrimaryUnreachable(false);
    clock.advance(SETTINGS.evidenceTimeout());
    process(new PromotionInput.Tick());

    assertTrue(
        actions.contains(new PromotionAction.OfferHome(new AvailabilityZone("te-whanganui"))));
    assertNoFence();
  }

  @Test
  void primaryThatAnswersAgainIsNotReplaced() {
    serveWithReservedTerms();
    process(new PromotionInput.PollFailed(A), answered(A, at(1, 100), 1));
    process(new PromotionInput.EvidenceReceived(new AvailabilityZone("te-whanganui"), 1, false));
    process(new PromotionInput.PollFailed(A));

    assertNoFence();
  }

  @Test
  void primaryThatAnswersAfterFencingBeganIsNotSelected() {
    serveWithReservedTerms();
    makePrimaryUnreachable(true);
    process(answered(A, at(1, 120), 1), fenced(A, 2, 120), fenced(B, 2, 100));
    assertFalse(actions.stream().anyMatch(PromotionAction.Promote.class::isInstance));
    process(fenced(C, 2, 90));

    assertEquals(promote(B, 2), actions.getLast());
  }

  /** Guards against: a lease that lapses and is renewed between two ticks leaves no primary. */
  @Test
  void serviceIsEndedWhenTheLeaseHadExpiredBeforeAnInput() {
    serveWithReservedTerms();
    leaseHeld = false;
    actions.clear();

    process(new PromotionInput.Tick());

    assertTrue(actions.contains(new PromotionAction.EndService()));
  }

  @Test
  void homePausedBeyondItsLeaseTakesNoActionInAnyPhase() {
    List<List<PromotionInput>> phases =
        List.of(
            List.of(),
            List.of(new PromotionInput.PollFailed(A)),
            List.of(fenced(B, 2, 90)),
            List.of(fenced(B, 2, 90), fenced(C, 2, 100)),
            List.of(
                fenced(B, 2, 90),
                fenced(C, 2, 100),
                new PromotionInput.PromoteAnswered(C, at(2, 101))));
    for (List<PromotionInput> inputs : phases) {
      leaseHeld = true;
      serveWithReservedTerms();
      makePrimaryUnreachable(true);
      inputs.forEach(this::process);
      leaseHeld = false;
      actions.clear();
      process(fenced(C, 2, 100), answered(B, at(2, 101), 2), new PromotionInput.Tick());

      assertEquals(
          List.of(
              PromotionAction.SuspendService.class,
              PromotionAction.LogDecision.class,
              PromotionAction.EndService.class),
          actions.stream().map(Object::getClass).toList(),
          inputs.toString());
    }
  }

  @Test
  void lostResponseOfAppliedWriteIsResolvedByReadingBack() {
    gainLease(row(1, Optional.of(A)));
    process(answered(B, at(1, 100), 1), answered(A, at(1, 100), 1));
    final GroupRow pending = lastWrite().row();
    makePrimaryUnreachable(true);
    assertNoFence();
    clock.advance(SETTINGS.retryInterval());
    process(new PromotionInput.Tick());
    assertTrue(actions.contains(new PromotionAction.ReadRow()));
    process(new PromotionInput.RowRead(pending));

    assertTrue(actions.contains(fence(B, 10)));
  }

  @Test
  void delayedWriteOfEarlierHomeIsReplaced() {
    gainLease(row(1, Optional.of(A)));
    process(answered(B, at(1, 100), 1), answered(A, at(1, 100), 1));
    final GroupRow pending = lastWrite().row();
    makePrimaryUnreachable(true);
    process(new PromotionInput.RowRefused(pending.version()));
    GroupRow other = row(1, Optional.of(A));
    RowVersion version = new RowVersion(8, new VmId("rival"), 3);
    GroupRow late =
        new GroupRow(other.group(), other.term(), other.primary(), MEMBERS, new Term(17), version);
    process(new PromotionInput.RowRead(late));

    assertNoFence();
    assertEquals(version, lastWrite().expected());
    process(new PromotionInput.RowWritten(lastWrite().row().version()));
    clock.advance(Duration.ofMillis(1));
    process(answered(B, at(1, 100), 1), answered(C, at(1, 100), 1));
    makePrimaryUnreachable(true);
    assertTrue(actions.contains(fence(B, 18)));
  }

  @Test
  void failureOfTheCandidateStartsTheNextTerm() {
    serveWithReservedTerms();
    makePrimaryUnreachable(true);
    process(fenced(B, 2, 90), fenced(C, 2, 100));
    process(new PromotionInput.PollFailed(C), new PromotionInput.PollFailed(C));

    assertEquals(fence(C, 3), actions.getLast());
    process(fenced(A, 3, 95), fenced(B, 3, 90));
    assertEquals(promote(A, 3), actions.getLast());
    process(new PromotionInput.PromoteAnswered(C, at(2, 101)));
    assertEquals(promote(A, 3), actions.getLast());
  }

  @Test
  void candidateThatNeverServedIsSelectedAgainWithoutGracePeriod() {
    serveWithReservedTerms();
    makePrimaryUnreachable(true);
    process(fenced(B, 2, 90), fenced(C, 2, 100));
    process(new PromotionInput.PollFailed(C), new PromotionInput.PollFailed(C));
    process(fenced(B, 3, 90));
    process(new PromotionInput.FenceAnswered(C, new Term(3), new Term(3), at(2, 101)));

    assertEquals(promote(C, 3), actions.getLast());
  }

  @Test
  void withoutReservedTermThePrimaryThatAnswersAgainKeepsServingWhileTheTableIsDown() {
    gainLease(row(1, Optional.of(A)));
    process(answered(B, at(1, 100), 1), answered(A, at(1, 100), 1));
    makePrimaryUnreachable(true);
    process(answered(A, at(1, 130), 1));

    assertNoFence();
    assertTrue(actions.contains(new PromotionAction.AnnouncePrimary(membership(1, A), at(1, 130))));
  }

  @Test
  void newHomeCompletesInterruptedPromotionInLaterTerm() {
    gainLease(row(1, Optional.of(A)));
    process(new PromotionInput.RowWritten(lastWrite().row().version()));
    process(answered(A, at(1, 100), 1), answered(B, at(1, 100), 2));

    assertTrue(actions.contains(fence(B, 10)));
    assertFalse(actions.stream().anyMatch(PromotionAction.AnnouncePrimary.class::isInstance));
  }

  @Test
  void answersToPollsSentBeforeTheLeaseAreIgnored() {
    PollResponse stale = new PollResponse(B, at(1, 100), at(1, 100), new Term(1), clock.instant());
    gainLease(row(1, Optional.of(A)));
    process(new PromotionInput.PollAnswered(stale), answered(A, at(1, 100), 1));

    assertFalse(actions.stream().anyMatch(PromotionAction.AnnouncePrimary.class::isInstance));
  }

  @Test
  void leavingPrimaryIsReplacedWhileItStillAnswers() {
    serveWithReservedTerms();
    process(new PromotionInput.EndpointDraining(A));
    process(fenced(A, 2, 120), fenced(B, 2, 100), fenced(C, 2, 110));

    assertEquals(promote(C, 2), actions.getLast());
  }

  @Test
  void previousPrimaryThatReturnsIsFencedAndFollows() {
    serveWithReservedTerms();
    makePrimaryUnreachable(true);
    process(fenced(B, 2, 90), fenced(C, 2, 100));
    process(new PromotionInput.PromoteAnswered(C, at(2, 101)), answered(B, at(2, 101), 2));
    actions.clear();
    process(answered(A, at(1, 140), 1));

    assertEquals(List.of(fence(A, 2), new PromotionAction.Follow(A, C, new Term(2))), actions);
  }

  private void serveWithReservedTerms() {
    gainLease(
        new GroupRow(
            new GroupId("lending"),
            Term.FIRST,
            Optional.of(A),
            MEMBERS,
            Term.FIRST,
            FIRST_VERSION));
    process(new PromotionInput.RowWritten(lastWrite().row().version()));
    process(answered(B, at(1, 100), 1), answered(A, at(1, 100), 1));
    assertTrue(actions.contains(new PromotionAction.AnnouncePrimary(membership(1, A), at(1, 100))));
    actions.clear();
  }

  private void makePrimaryUnreachable(boolean unreachableFromPeer) {
    actions.clear();
    process(new PromotionInput.PollFailed(A));
    long round =
        actions.stream()
            .filter(PromotionAction.RequestPeerEvidence.class::isInstance)
            .mapToLong(action -> ((PromotionAction.RequestPeerEvidence) action).round())
            .findFirst()
            .orElseThrow();
    AvailabilityZone peer = new AvailabilityZone("te-whanganui");
    process(new PromotionInput.EvidenceReceived(peer, round, !unreachableFromPeer));
    assertNoFence();
    process(new PromotionInput.PollFailed(A));
  }

  private void gainLease(GroupRow row) {
    process(new PromotionInput.LeaseGained(row));
    clock.advance(Duration.ofMillis(1));
  }

  private void process(PromotionInput... inputs) {
    for (PromotionInput input : inputs) {
      actions.addAll(machine.step(input));
    }
  }

  private void assertNoFence() {
    assertFalse(actions.stream().anyMatch(PromotionAction.Fence.class::isInstance));
  }

  private PromotionAction.WriteRow lastWrite() {
    return actions.stream()
        .filter(PromotionAction.WriteRow.class::isInstance)
        .map(PromotionAction.WriteRow.class::cast)
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  private PromotionInput answered(EndpointId endpoint, Position received, long fencedAt) {
    return new PromotionInput.PollAnswered(
        new PollResponse(endpoint, received, received, new Term(fencedAt), clock.instant()));
  }

  private static PromotionInput fenced(EndpointId endpoint, long term, long log) {
    return new PromotionInput.FenceAnswered(endpoint, new Term(term), new Term(term), at(1, log));
  }

  private static PromotionAction fence(EndpointId endpoint, long term) {
    return new PromotionAction.Fence(endpoint, new Term(term));
  }

  private static PromotionAction promote(EndpointId endpoint, long term) {
    return new PromotionAction.Promote(endpoint, new Term(term));
  }

  private static TermMembership membership(long term, EndpointId primary) {
    return new TermMembership(new Term(term), primary, MEMBERS);
  }

  /** A row whose previous home has reserved the terms up to 9. */
  private static GroupRow row(long term, Optional<EndpointId> primary) {
    return new GroupRow(
        new GroupId("lending"), new Term(term), primary, MEMBERS, new Term(9), FIRST_VERSION);
  }

  private static Position at(long term, long log) {
    return new Position(new Term(term), new LogPosition(log));
  }
}

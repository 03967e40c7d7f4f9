package org.mimosacleat.serving.promotion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.fleet.Teams;

/**
 * Guards against a promotion of an endpoint that lacks acknowledged commits, whoever is gone and
 * however long the wait lasts (review/2, LOST).
 */
class AcknowledgedCommitsTest {
  private static final int COMMITS = 20;

  /** Enough for some minutes, and for several holders of the claim. */
  private static final int LONG_WAIT = 400;

  /** Enough for the takeover of a claim. */
  private static final int SHORT_WAIT = 40;

  /** Three heartbeats, after which the entry of an endpoint that writes none is removed. */
  private static final Duration ENTRY_DELAY = Duration.ofMillis(3_600);

  private final ReplicatedGroup group = new ReplicatedGroup(2, 1);
  private final ReplicatedNode primary = group.nodes.get(0);
  private final ReplicatedNode complete = group.nodes.get(1);
  private final ReplicatedNode behind = group.nodes.get(2);

  @BeforeEach
  void writeWhileOneReplicaReceivesNothing() {
    evaluate(4);
    behind.receives = false;
  }

  private void write() {
    for (int commit = 0; commit < COMMITS; commit++) {
      group.write();
    }
    assertEquals(COMMITS, group.acknowledged.size());
  }

  private void evaluate(int times) {
    for (int time = 0; time < times; time++) {
      group.evaluate(time % 2);
    }
  }

  private void drain(ReplicatedNode node) {
    group.drain(node);
    evaluate(4);
  }

  /** Writes 20 commits that only the primary and a draining replica have, and ends both. */
  private void loseDrainedReplicaAndPrimary() {
    drain(complete);
    write();
    group.crash(primary);
    group.exit(complete);
  }

  private void assertPromoted(ReplicatedNode node) {
    assertEquals(List.of(node.id), group.promoted);
    assertEquals(0, group.lostCommits);
    assertTrue(group.hasUsablePrimary());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void nobodyIsPromotedAfterDrainingReplicaWithTheCommitsHasExited(boolean beforeItWasMissed) {
    drain(complete);
    write();
    group.crash(primary);
    if (!beforeItWasMissed) {
      evaluate(1);
    }
    group.exit(complete);

    evaluate(LONG_WAIT);

    assertEquals(0, group.lostCommits);
  }

  @Test
  void nobodyIsPromotedAfterReplicaWithTheCommitsHasStartedAgainWithoutThem() {
    write();
    group.restart(complete).receives = false;
    evaluate(4);
    group.crash(primary);

    evaluate(LONG_WAIT);

    assertEquals(List.of(), group.promoted);
  }

  /** The endpoint list may show the earlier start for a while; one may have a part of its log. */
  @ParameterizedTest
  @ValueSource(ints = {0, COMMITS / 2})
  void nobodyIsPromotedAfterReplicaHasStartedAgainUnseen(int receivedAgain) {
    write();
    evaluate(4);
    final ReplicatedNode next = group.restart(complete);
    next.receives = false;
    next.log.addAll(primary.log.subList(0, receivedAgain));
    group.publish(complete);
    behind.log.addAll(primary.log.subList(0, 1));
    group.crash(primary);
    Instant shown = group.proxy.clock.instant().plus(ENTRY_DELAY);
    group.whileWaiting =
        () -> {
          if (group.proxy.clock.instant().isAfter(shown)) {
            group.publish(next);
          }
        };

    evaluate(LONG_WAIT);

    assertEquals(List.of(), group.promoted);
  }

  @Test
  void nobodyIsPromotedWhoLacksCommitsOfEarlierTerms() {
    write();
    group.crash(primary);
    evaluate(SHORT_WAIT);
    assertPromoted(complete);
    group.crash(complete);

    evaluate(LONG_WAIT);

    assertPromotedOnly(complete);
  }

  private void assertPromotedOnly(ReplicatedNode node) {
    assertEquals(List.of(node.id), group.promoted);
    assertEquals(0, group.lostCommits);
  }

  @Test
  void returnOfThePrimaryEndsTheWait() {
    loseDrainedReplicaAndPrimary();
    evaluate(LONG_WAIT);

    group.comeBack(primary);
    evaluate(SHORT_WAIT);

    assertPromoted(primary);
  }

  /** Found by generated cases: it has received its log of a former primary again up to its end. */
  @Test
  void primaryThatHasLostItsLogDoesNotEndTheWait() {
    group.reportsTermOfCommit = true;
    write();
    group.crash(primary);
    evaluate(SHORT_WAIT);
    assertPromoted(complete);
    behind.receives = true;
    for (int commit = 0; commit < COMMITS; commit++) {
      group.write();
    }
    assertEquals(2 * COMMITS, group.acknowledged.size());
    group.restart(behind).receives = false;
    group.restart(complete);
    group.comeBack(primary);

    evaluate(LONG_WAIT);

    assertPromotedOnly(complete);
  }

  @Test
  void successorOfDrainedReplicaEndsTheWait() {
    loseDrainedReplicaAndPrimary();
    evaluate(LONG_WAIT);

    ReplicatedNode successor = group.succeed(complete);
    evaluate(SHORT_WAIT);

    assertPromoted(successor);
  }

  @Test
  void endpointAtTheAddressOfCrashedReplicaDoesNotHaveItsLog() {
    write();
    group.crash(primary);
    group.crash(complete);
    evaluate(SHORT_WAIT);

    group.start("n9", "address1");
    evaluate(LONG_WAIT);

    assertEquals(List.of(), group.promoted);
  }

  @Test
  void successorOfDrainedPrimaryEndsTheWait() {
    write();
    complete.reachable = false;
    drain(primary);
    group.exit(primary);
    evaluate(SHORT_WAIT);

    ReplicatedNode successor = group.succeed(primary);
    evaluate(SHORT_WAIT);

    assertPromotedLast(successor);
  }

  /**
   * Replaces the primary while it has a commit that nobody else has, and lets it come back without
   * following the next one, which it returns.
   */
  private ReplicatedNode replacePrimaryThatHasAnUnacknowledgedCommit() {
    group.reportsTermOfCommit = true;
    behind.receives = true;
    write();
    complete.receives = false;
    behind.receives = false;
    group.write();
    group.crash(primary);
    evaluate(SHORT_WAIT);
    ReplicatedNode next = group.recordedPrimary().orElseThrow();
    assertEquals(List.of(next.id), group.promoted);
    primary.receives = false;
    group.comeBack(primary);
    primary.role = EndpointRole.REPLICA;
    complete.receives = true;
    behind.receives = true;
    evaluate(4);
    return next;
  }

  private ReplicatedNode otherReplica(ReplicatedNode node) {
    return node == complete ? behind : complete;
  }

  private void assertPromotedLast(ReplicatedNode node) {
    assertEquals(node.id, group.promoted.getLast());
    assertEquals(0, group.lostCommits);
  }

  /** Found by generated cases (seeds 121 and 151): nobody was promoted, although all were back. */
  @Test
  void successorOfDrainedPrimaryEndsTheWaitAlthoughAnotherHasCommitThatWasGivenUp() {
    final ReplicatedNode second = replacePrimaryThatHasAnUnacknowledgedCommit();
    otherReplica(second).reachable = false;
    drain(second);
    group.exit(second);
    evaluate(SHORT_WAIT);

    ReplicatedNode successor = group.succeed(second);
    evaluate(SHORT_WAIT);

    assertPromotedLast(successor);
  }

  @Test
  void commitThatWasGivenUpDoesNotMakeItsEndpointPrimary() {
    ReplicatedNode second = replacePrimaryThatHasAnUnacknowledgedCommit();
    group.crash(second);
    evaluate(SHORT_WAIT);

    assertEquals(2, group.promoted.size());
    assertPromotedLast(otherReplica(second));
  }

  /** Found by generated cases (seeds 143 and 163): only the first successor was believed. */
  @Test
  void successorOfSuccessorOfDrainedPrimaryEndsTheWait() {
    write();
    complete.reachable = false;
    drain(primary);
    group.exit(primary);
    ReplicatedNode first = group.succeed(primary);
    first.reachable = false;
    evaluate(SHORT_WAIT);
    drain(first);
    evaluate(SHORT_WAIT);
    group.exit(first);
    evaluate(SHORT_WAIT);

    ReplicatedNode second = group.succeed(first);
    evaluate(SHORT_WAIT);

    assertPromotedLast(second);
  }

  @Test
  void replicaThatIsBackEndsTheWait() {
    write();
    group.crash(primary);
    complete.reachable = false;
    evaluate(LONG_WAIT);
    assertEquals(List.of(), group.promoted);

    complete.reachable = true;
    evaluate(SHORT_WAIT);

    assertPromoted(complete);
  }

  @Test
  void operatorEndsTheWaitByGivingUpSynchronousReplicas() {
    loseDrainedReplicaAndPrimary();
    evaluate(LONG_WAIT);

    group.proxy.configure(3, Teams.NOT_CONFIGURED, 0);
    evaluate(SHORT_WAIT);

    assertEquals(List.of(behind.id), group.promoted);
    assertEquals(COMMITS, group.lostCommits);
  }

  /** A replica that is gone for good is not missed once another one has all commits. */
  @Test
  void replicaThatIsGoneIsNotMissedOnceAnotherHasCaughtUp() {
    write();
    group.crash(complete);
    behind.receives = true;
    evaluate(SHORT_WAIT);
    group.crash(primary);

    evaluate(SHORT_WAIT);

    assertPromoted(behind);
  }

  @Test
  void replicaThatHasStartedAgainIsNotMissedOnceItHasCaughtUp() {
    write();
    final ReplicatedNode next = group.restart(complete);
    evaluate(4);
    group.crash(primary);

    evaluate(SHORT_WAIT);

    assertPromoted(next);
  }

  @Test
  void copiesAreNotRecordedWithoutSynchronousReplicas() {
    group.proxy.configure(3, Teams.NOT_CONFIGURED, 0);
    evaluate(4);

    assertEquals(
        Optional.of(LogCopies.NONE), group.records.primary.map(latest -> latest.record().copies()));
  }
}

package org.mimosacleat.core.acknowledgement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;

class ReplicaAcknowledgementTrackerTest {
  private static final long SEEDS = 200;

  private final PausedClock clock = new PausedClock();
  private boolean leaseHeld = true;
  private final AcknowledgementTracker tracker =
      new ReplicaAcknowledgementTracker(
          clock, () -> leaseHeld, AcknowledgementSimulation.FIRST_MEMBERSHIP);

  @Test
  void writeIsAcknowledgedOnceOneReplicaOfThreeHasReceivedIt() {
    CompletableFuture<Either<Failure, Position>> result = await(at(1, 100));

    answer("a", at(1, 100), 1);
    answer("b", at(1, 99), 1);
    assertFalse(result.isDone());
    answer("c", at(1, 100), 1);
    assertEquals(Either.right(at(1, 100)), result.join());
  }

  @Test
  void writeThatReplicaAlreadyStoresIsAcknowledgedImmediately() {
    answer("b", at(1, 100), 1);

    assertTrue(await(at(1, 100)).join().isRight());
  }

  @Test
  void fencedReplicaAndReplicaOfAnotherTermConfirmNothing() {
    CompletableFuture<Either<Failure, Position>> result = await(at(1, 100));

    answer("b", at(1, 100), 2);
    answer("c", at(2, 500), 1);
    assertFalse(result.isDone());
  }

  @Test
  void newTermFailsPendingAndLaterWritesOfTheEarlierTerm() {
    CompletableFuture<Either<Failure, Position>> waiting = await(at(1, 100));
    tracker.startTerm(
        new TermMembership(
            new Term(2), new EndpointId("b"), Set.copyOf(AcknowledgementSimulation.MEMBERS)));

    assertEquals(ErrorKind.NOT_CONFIRMED, waiting.join().getLeft().kind());
    assertEquals(ErrorKind.NOT_CONFIRMED, await(at(1, 90)).join().getLeft().kind());
    answer("a", at(2, 120), 2);
    assertTrue(await(at(2, 120)).join().isRight());
  }

  @Test
  void writeFailsAtItsDeadline() {
    CompletableFuture<Either<Failure, Position>> result = await(at(1, 100));
    clock.advance(Duration.ofSeconds(1));
    tracker.tick();

    assertEquals(ErrorKind.NOT_CONFIRMED, result.join().getLeft().kind());
  }

  @Test
  void homePausedBeyondItsLeaseAcknowledgesNothing() {
    CompletableFuture<Either<Failure, Position>> result = await(at(1, 100));
    leaseHeld = false;
    answer("b", at(1, 100), 1);
    assertFalse(result.isDone());

    tracker.suspend();
    leaseHeld = true;
    assertEquals(ErrorKind.NOT_CONFIRMED, result.join().getLeft().kind());
    assertEquals(ErrorKind.NOT_CONFIRMED, await(at(1, 90)).join().getLeft().kind());
    tracker.startTerm(AcknowledgementSimulation.FIRST_MEMBERSHIP);
    answer("b", at(1, 100), 1);
    assertTrue(await(at(1, 90)).join().isRight());
  }

  @Test
  void writeInGroupOfFiveNeedsTwoReplicas() {
    TermMembership membership =
        new TermMembership(
            Term.FIRST, id("a"), Set.of(id("a"), id("b"), id("c"), id("d"), id("e")));
    tracker.startTerm(membership);
    CompletableFuture<Either<Failure, Position>> result = await(at(1, 100));

    answer("b", at(1, 100), 1);
    assertFalse(result.isDone());
    answer("e", at(1, 100), 1);
    assertTrue(result.isDone());
  }

  @Property(seed = "4003", tries = 300)
  void acknowledgedWritesSurviveAndNoneIsAcknowledgedAfterThePromotion(@ForAll long seed) {
    AcknowledgementSimulation simulation = run(seed, ReplicaAcknowledgementTrackerTest::tracker);

    assertFalse(simulation.hasLostAcknowledgedWrite(), "lost, seed " + seed);
    assertEquals(0, simulation.lateAcknowledgements(), "late, seed " + seed);
  }

  @Test
  void simulationAcknowledgesWritesAndDetectsFaultyTrackers() {
    assertTrue(
        anySeed(seed -> run(seed, ReplicaAcknowledgementTrackerTest::tracker).acknowledged()));
    assertTrue(
        anySeed(
            seed ->
                run(seed, (time, lease) -> new PrimaryOnlyTracker()).hasLostAcknowledgedWrite()
                    ? 1
                    : 0));
    assertTrue(
        anySeed(
            seed -> run(seed, (time, lease) -> tracker(time, () -> true)).lateAcknowledgements()));
  }

  private static boolean anySeed(java.util.function.LongToIntFunction count) {
    return LongStream.range(0, SEEDS).anyMatch(seed -> count.applyAsInt(seed) > 0);
  }

  private static AcknowledgementSimulation run(
      long seed, AcknowledgementSimulation.TrackerFactory factory) {
    AcknowledgementSimulation simulation =
        new AcknowledgementSimulation(seed, new PausedClock(), factory);
    simulation.run();
    return simulation;
  }

  private static AcknowledgementTracker tracker(PausedClock time, LeaseStatus lease) {
    return new ReplicaAcknowledgementTracker(
        time, lease, AcknowledgementSimulation.FIRST_MEMBERSHIP);
  }

  private CompletableFuture<Either<Failure, Position>> await(Position commit) {
    return tracker.await(commit, clock.instant().plusSeconds(1));
  }

  private void answer(String endpoint, Position received, long fencedAt) {
    tracker.applyPollResponse(pollResponse(endpoint, received, fencedAt, clock.instant()));
  }

  private static PollResponse pollResponse(
      String endpoint, Position received, long fencedAt, Instant askedAt) {
    return new PollResponse(id(endpoint), received, received, new Term(fencedAt), askedAt);
  }

  private static EndpointId id(String name) {
    return new EndpointId(name);
  }

  private static Position at(long term, long log) {
    return new Position(new Term(term), new LogPosition(log));
  }
}

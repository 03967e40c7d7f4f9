package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.process.RepeatedStep;
import org.mimosacleat.serving.routing.GroupState;
import org.mimosacleat.serving.version.StoreVersion;
import org.tinylog.Logger;

/**
 * Failover controller of one group on this proxy: follows the shared record, stops using a primary
 * that is being replaced, and starts a replacement when the primary drains, disappears from the
 * endpoint list, or can't be reached.
 */
final class GroupFailoverController implements Runnable {
  private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(500);

  /** Of proxies that act only if the gateways of the group do not. */
  private static final Duration LONG_EVALUATION_INTERVAL = Duration.ofMillis(2_000);

  /** Time without progress after which another proxy takes over a replacement. */
  private static final Duration TAKEOVER_TIMEOUT = Duration.ofMillis(3_000);

  private static final Duration MAX_START_DELAY = Duration.ofMillis(120);
  private static final Duration MAX_DELAY_AFTER_FAILURE = Duration.ofMillis(600);

  /** How long a group without a listed primary waits for one before a replacement starts. */
  private static final Duration NO_PRIMARY_TIMEOUT = Duration.ofMillis(2_500);

  private final GroupId group;
  private final FailoverDependencies dependencies;
  private final GroupState state;
  private final GroupStatusPoller statusPoller;
  private final PrimaryProbe probe;
  private final FirstRecordWriter firstRecord;
  private final RecordRecovery recovery;
  private final PrimaryTrouble trouble;
  private final PrimaryStop stop;
  private final LogCopyKeeper copyKeeper;
  private final LinkedBlockingQueue<Optional<String>> pendingEvaluations =
      new LinkedBlockingQueue<>();
  private StoreVersion lastSeenVersion = StoreVersion.NONE;
  private Instant lastSeenVersionAt;
  private Instant primaryLastListedAt;

  GroupFailoverController(GroupId group, FailoverDependencies dependencies) {
    this.group = group;
    this.dependencies = dependencies;
    this.state = dependencies.groupStates().of(group);
    this.statusPoller = new GroupStatusPoller(group, dependencies);
    this.probe = new PrimaryProbe(dependencies);
    this.firstRecord = new FirstRecordWriter(group, dependencies);
    this.recovery = new RecordRecovery(group, dependencies);
    this.trouble = new PrimaryTrouble(group, dependencies);
    this.stop = new PrimaryStop(group, dependencies);
    this.copyKeeper = new LogCopyKeeper(group, dependencies);
    this.lastSeenVersionAt = dependencies.clock().instant();
    this.primaryLastListedAt = dependencies.clock().instant();
  }

  /** Triggers an immediate evaluation of the group. */
  void wake() {
    pendingEvaluations.offer(Optional.empty());
  }

  /** Triggers a check of the primary, unless an evaluation is already pending. */
  void suspectPrimary(String reason) {
    if (pendingEvaluations.isEmpty()) {
      pendingEvaluations.offer(Optional.of(reason));
    }
  }

  @Override
  public void run() {
    new RepeatedStep("the failover of " + group, this::next, dependencies.sleeper()).run();
  }

  private void next() throws InterruptedException {
    boolean watches = dependencies.isGateway().test(group);
    Duration interval = watches ? EVALUATION_INTERVAL : LONG_EVALUATION_INTERVAL;
    Optional<String> reason = pendingEvaluations.poll(interval.toMillis(), TimeUnit.MILLISECONDS);
    evaluate(reason == null ? Optional.empty() : reason);
  }

  /** Evaluates the group once; {@code reason} says why the primary is suspected, if it is. */
  void evaluate(Optional<String> reason) {
    Optional<RecordedPrimary> latest = dependencies.records().find(group);
    if (latest.isEmpty()) {
      firstRecord.writeIfGateway();
      return;
    }
    boolean confirmedHere = recovery.recover(latest.get());
    RecordedPrimary recorded = dependencies.records().find(group).orElseThrow();
    if (!recorded.version().equals(lastSeenVersion)) {
      lastSeenVersion = recorded.version();
      lastSeenVersionAt = dependencies.clock().instant();
    }
    if (recorded.record().replacement().isPresent()) {
      followReplacement(recorded, confirmedHere);
    } else {
      checkPrimary(recorded, reason);
    }
  }

  private void checkPrimary(RecordedPrimary recorded, Optional<String> reason) {
    PrimaryRecord record = recorded.record();
    Optional<EndpointId> usedBefore = state.primary();
    recorded.applyTo(state);
    if (!state.primary().equals(usedBefore)) {
      dependencies.fleet().notifyWaiters();
    }
    if (state.term().isAfter(record.term())) {
      // An endpoint has reported a later term than the newest record received so far.
      reason.ifPresent(_ -> usePrimaryOfLaterTerm(statusPoller.pollAll(), record.term()));
      return;
    }
    boolean isTroubled = trouble.isSeen(record, reason);
    if (!isTroubled) {
      primaryLastListedAt = dependencies.clock().instant();
    }
    if (copyKeeper.keep(recorded)) {
      pendingEvaluations.offer(reason);
      return;
    }
    if (!isTroubled || !trouble.isForThisProxy()) {
      return;
    }
    Optional<EndpointEntry> primary = record.primary().flatMap(dependencies::findEndpoint);
    if (primary.isEmpty()) {
      replaceUnlistedPrimary(recorded);
      return;
    }
    primaryLastListedAt = dependencies.clock().instant();
    if (primary.get().draining()) {
      replaceDrainingPrimary(recorded, primary.get());
    } else {
      probePrimary(recorded, primary.get(), reason.orElse("it did not answer before"));
    }
  }

  private void replaceDrainingPrimary(RecordedPrimary recorded, EndpointEntry primary) {
    dependencies.sleepRandomly(MAX_START_DELAY);
    if (!dependencies.hasChanged(recorded) && !statusPoller.pollOthers(primary.id()).isEmpty()) {
      startReplacement(recorded, true, "the primary is draining");
    }
  }

  /**
   * Uses the primary of the latest term above {@code recordedTerm} among these.
   *
   * @return whether there is one
   */
  private boolean usePrimaryOfLaterTerm(List<Candidate> candidates, Term recordedTerm) {
    Optional<Candidate> newPrimary = Candidate.primaryOfLaterTerm(candidates, recordedTerm);
    newPrimary.ifPresent(
        candidate -> {
          Logger.info(
              "{}: using {} as primary: it reports term {}, later than the recorded term {}",
              group,
              candidate.entry().id(),
              candidate.status().term(),
              recordedTerm);
          state.setPrimary(candidate.entry().id(), candidate.status().term());
          dependencies.fleet().notifyWaiters();
        });
    return newPrimary.isPresent();
  }

  private void replaceUnlistedPrimary(RecordedPrimary recorded) {
    boolean timedOut =
        Duration.between(primaryLastListedAt, dependencies.clock().instant())
                .compareTo(NO_PRIMARY_TIMEOUT)
            > 0;
    boolean hasEndpoints = !dependencies.fleet().snapshot().endpointsOf(group).isEmpty();
    if (timedOut && hasEndpoints) {
      recorded.record().primary().ifPresent(state::markUnreachable);
      startReplacement(recorded, false, "the primary is no longer in the endpoint list");
    }
  }

  /**
   * Probes a suspected primary. Starts no replacement if the primary still answers as primary, if
   * another endpoint is primary of a later term, or if this proxy itself is delayed or isolated.
   */
  private void probePrimary(RecordedPrimary recorded, EndpointEntry primary, String reason) {
    switch (probe.probe(recorded, primary)) {
      case PRIMARY -> usePrimaryAgain(primary.id());
      case REPLICA -> replaceReplica(recorded);
      case UNREACHABLE -> replaceUnreachablePrimary(recorded, primary.id(), reason);
      case INCONCLUSIVE -> Logger.debug("{}: probe of {} inconclusive", group, primary.id());
      default -> throw new IllegalStateException("unknown result of a probe");
    }
  }

  private void replaceReplica(RecordedPrimary recorded) {
    if (!usePrimaryOfLaterTerm(statusPoller.pollAll(), recorded.record().term())) {
      startReplacement(recorded, true, "the primary reports itself as replica");
    }
  }

  private void replaceUnreachablePrimary(
      RecordedPrimary recorded, EndpointId primary, String reason) {
    List<Candidate> others = statusPoller.pollOthers(primary);
    if (usePrimaryOfLaterTerm(others, recorded.record().term())) {
      return;
    }
    if (others.isEmpty()) {
      Logger.warn(
          "{}: no endpoint can be reached, the primary included; starting no replacement", group);
      return;
    }
    state.markUnreachable(primary);
    startReplacement(recorded, false, "the primary " + primary + " is unreachable: " + reason);
  }

  private void usePrimaryAgain(EndpointId primary) {
    if (state.isUnreachable()) {
      Logger.info("{}: the primary {} is reached again", group, primary);
      state.markReachable(primary);
      dependencies.fleet().notifyWaiters();
    }
  }

  private void startReplacement(RecordedPrimary recorded, boolean planned, String reason) {
    if (!recorded.isConfirmed()) {
      // The store may have lost a later record; the recovery confirms the latest one first.
      return;
    }
    dependencies.sleepRandomly(MAX_START_DELAY);
    if (dependencies.hasChanged(recorded)) {
      return;
    }
    Logger.info(
        "{}: replacing the primary {} of term {}, planned: {}, reason: {}",
        group,
        recorded.record().primary(),
        recorded.record().term(),
        planned,
        reason);
    if (!new PrimaryReplacement(dependencies, recorded).run(planned)) {
      dependencies.sleepRandomly(MAX_DELAY_AFTER_FAILURE);
    }
  }

  /**
   * Stops using the primary that is being replaced, and takes the replacement over if it has
   * stalled.
   *
   * @param interrupted whether it was claimed before the store came back from an older copy, so
   *     that its holder can't go on
   */
  private void followReplacement(RecordedPrimary recorded, boolean interrupted) {
    PrimaryRecord record = recorded.record();
    recorded.applyTo(state);
    Replacement replacement = record.replacement().orElseThrow();
    if (!replacement.planned() && !stop.stopAndRecord(recorded)) {
      wake();
    }
    boolean stalled =
        Duration.between(lastSeenVersionAt, dependencies.clock().instant())
                .compareTo(TAKEOVER_TIMEOUT)
            > 0;
    if (interrupted || (stalled && trouble.isForThisProxy())) {
      startReplacement(
          recorded,
          replacement.planned(),
          "the replacement by " + replacement.holder() + " has stalled");
    }
  }

  /**
   * Stops using the primary that a claim replaces; called by the request of another proxy. The
   * claim must be the latest record.
   *
   * @return whether the primary was fenced
   */
  boolean stopUsingPrimaryNow(RecordedPrimary claim) {
    claim.applyTo(state);
    return stop.fenceOrAbandon(claim.record());
  }
}

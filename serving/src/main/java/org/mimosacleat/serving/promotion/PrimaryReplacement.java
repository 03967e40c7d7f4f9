package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.tinylog.Logger;

/**
 * Carries out one replacement of a primary: claims it in the shared record, makes sure that the old
 * primary is used no more, promotes the most advanced replica, and records the new primary.
 *
 * <p>Each claim has a version of its own, which is the token of the promotion. An order is only
 * sent while the claim is young; others take over only when it is old.
 */
final class PrimaryReplacement {
  /** A claim older than this is renewed before anything is ordered under it. */
  private static final Duration CLAIM_FRESH = Duration.ofMillis(1_200);

  /** Time for the other proxies to see a planned replacement before the primary is fenced. */
  private static final Duration OTHERS_PAUSE = Duration.ofMillis(40);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
  private static final Duration LEAD_CHECK_INTERVAL = Duration.ofMillis(30);

  /** How long the log of a fenced primary is waited for; what is missing then is lost. */
  private static final Duration CATCH_UP_LIMIT = Duration.ofMillis(700);

  /** How long a promoted endpoint may take to lead before the order is sent again. */
  private static final Duration LEAD_LIMIT = Duration.ofMillis(1_500);

  private static final Duration GIVE_UP_AFTER = Duration.ofSeconds(25);
  private static final Duration KEEP_FENCING_FOR = Duration.ofSeconds(30);
  private static final Duration FENCING_INTERVAL = Duration.ofMillis(150);

  private final GuardParts parts;
  private final GroupId group;
  private final EndpointSurvey survey;
  private final Set<EndpointId> refused = new HashSet<>();
  private RecordedPrimary claim;
  private Instant claimedAt = Instant.MIN;
  private boolean usedNoMore;

  PrimaryReplacement(GuardParts parts, RecordedPrimary recorded) {
    this.parts = parts;
    this.group = recorded.record().group();
    this.claim = recorded;
    this.survey = new EndpointSurvey(parts.administration(), parts.executor());
  }

  /**
   * Runs until the group has a primary again, another proxy goes on, or it is given up.
   *
   * @return whether the group has a primary again
   */
  boolean run(boolean planned) {
    if (!claim(planned)) {
      return false;
    }
    parts.views().of(group).pause(claim.record().term());
    Instant end = parts.clock().instant().plus(GIVE_UP_AFTER);
    Optional<Position> fencedAt = endOldReign(planned, end);
    if (fencedAt.isEmpty() && !usedNoMore) {
      Logger.warn("{}: the replacement is given up: the old primary may be in use", group);
      return false;
    }
    return promote(fencedAt.orElse(Position.NONE), end);
  }

  /** Claims the replacement, or renews the claim; false if another proxy has it. */
  private boolean claim(boolean planned) {
    Instant sentAt = parts.clock().instant();
    PrimaryRecord next = claim.record().replacedBy(new Replacement(parts.self(), planned));
    Either<RecordFailure, Long> written = parts.shared().writePrimary(next, claim.version());
    if (written.isLeft()) {
      Logger.info("{}: the replacement is not claimed: {}", group, written.getLeft());
      return false;
    }
    claim = new RecordedPrimary(next, written.get());
    claimedAt = sentAt;
    parts.records().put(claim);
    return true;
  }

  private boolean holdsFreshClaim() {
    Duration age = Duration.between(claimedAt, parts.clock().instant());
    boolean planned = claim.record().replacement().orElseThrow().planned();
    return age.compareTo(CLAIM_FRESH) < 0 || claim(planned);
  }

  /** Returns where the old primary's log ended if it was fenced. */
  private Optional<Position> endOldReign(boolean planned, Instant end) {
    if (planned) {
      parts.sleeper().sleep(OTHERS_PAUSE);
    }
    Optional<Position> fenced = fence();
    if (fenced.isPresent()) {
      return fenced;
    }
    if (planned && !claim(false)) {
      return Optional.empty();
    }
    claim.record().primary().flatMap(parts.pools()::find).ifPresent(EndpointPool::abandon);
    while (parts.clock().instant().isBefore(end) && holdsFreshClaim()) {
      if (isUsedNoMore()) {
        usedNoMore = true;
        return Optional.empty();
      }
      fenced = fence();
      if (fenced.isPresent()) {
        return fenced;
      }
      parts.sleeper().sleep(CHECK_INTERVAL);
    }
    return Optional.empty();
  }

  private Optional<Position> fence() {
    return oldPrimary()
        .flatMap(old -> parts.administration().fence(old, claim.record().term().next()));
  }

  /**
   * Tells whether another proxy has fenced the primary, or all have stopped or lost their right.
   */
  private boolean isUsedNoMore() {
    Either<RecordFailure, List<StopRecord>> stops = parts.shared().readStops(group);
    if (stops.isLeft()) {
      return false;
    }
    List<StopRecord> ofRound =
        stops.get().stream().filter(stop -> stop.round() == claim.record().round()).toList();
    return ofRound.stream().anyMatch(StopRecord::fenced) || haveAllStopped(ofRound);
  }

  private boolean haveAllStopped(List<StopRecord> stops) {
    Set<VmId> stopped = stops.stream().map(StopRecord::proxy).collect(Collectors.toSet());
    stopped.add(parts.self());
    Either<RecordFailure, ProxyList> list = parts.shared().readProxies();
    return list.isRight()
        && list.get().proxies().stream()
            .filter(proxy -> !stopped.contains(proxy.proxy()))
            .allMatch(proxy -> ProxyLease.hasEnded(proxy, list.get().storeMillis()));
  }

  private boolean promote(Position atLeast, Instant end) {
    Instant catchUpEnd = parts.clock().instant().plus(CATCH_UP_LIMIT);
    while (parts.clock().instant().isBefore(end)) {
      List<Candidate> candidates = candidates();
      Optional<Candidate> leader =
          candidates.stream()
              .filter(candidate -> candidate.leadsAfter(claim.record().term()))
              .findFirst();
      if (leader.isPresent()) {
        return record(leader.get());
      }
      Optional<Candidate> best =
          candidates.stream()
              .filter(candidate -> !refused.contains(candidate.entry().id()))
              .max(Candidate.BEST_LAST);
      boolean ready =
          best.isPresent()
              && (best.get().status().received().includes(atLeast)
                  || !parts.clock().instant().isBefore(catchUpEnd));
      if (!ready) {
        parts.sleeper().sleep(LEAD_CHECK_INTERVAL);
        continue;
      }
      if (!holdsFreshClaim()) {
        return false;
      }
      order(best.get());
    }
    return false;
  }

  private void order(Candidate best) {
    Logger.info(
        "{}: promoting {} at {}, token {}",
        group,
        best.entry().id(),
        best.status().received(),
        claim.version());
    PromotionCall.Result result =
        parts.call().promote(group, best.entry().id(), parts.self(), claim.version());
    Logger.info("{}: promotion of {}: {}", group, best.entry().id(), result);
    if (result == PromotionCall.Result.REFUSED) {
      refused.add(best.entry().id());
      return;
    }
    if (result == PromotionCall.Result.NOT_TAKEN) {
      parts.sleeper().sleep(CHECK_INTERVAL);
      return;
    }
    Instant limit = parts.clock().instant().plus(LEAD_LIMIT);
    while (parts.clock().instant().isBefore(limit)) {
      parts.sleeper().sleep(LEAD_CHECK_INTERVAL);
      Either<Failure, EndpointStatus> status = parts.administration().status(best.entry());
      if (status.isRight()
          && new Candidate(best.entry(), status.get()).leadsAfter(claim.record().term())) {
        return;
      }
    }
  }

  private boolean record(Candidate leader) {
    Term term = leader.status().term();
    final Optional<EndpointEntry> old = oldPrimary();
    PrimaryRecord led = claim.record().led(leader.entry().id(), term);
    Either<RecordFailure, Long> written = parts.shared().writePrimary(led, claim.version());
    written
        .peek(version -> parts.records().put(new RecordedPrimary(led, version)))
        .peekLeft(
            failure -> Logger.warn("{}: the new primary is not recorded: {}", group, failure));
    if (written.isRight()) {
      Logger.info("{}: {} leads term {}", group, leader.entry().id(), term);
    }
    old.filter(entry -> !entry.id().equals(leader.entry().id()))
        .ifPresent(entry -> parts.executor().execute(() -> keepFencing(entry, term)));
    return written.isRight();
  }

  /** A primary that comes back leads on for a moment; the sooner it is fenced the better. */
  private void keepFencing(EndpointEntry old, Term term) {
    Instant end = parts.clock().instant().plus(KEEP_FENCING_FOR);
    while (parts.clock().instant().isBefore(end)) {
      if (parts.administration().fence(old, term).isPresent()) {
        return;
      }
      parts.sleeper().sleep(FENCING_INTERVAL);
    }
  }

  private Optional<EndpointEntry> oldPrimary() {
    return claim.record().primary().map(id -> parts.fleet().picture().endpoints().get(id));
  }

  /** The old primary is a candidate only if it is the last endpoint left. */
  private List<Candidate> candidates() {
    List<EndpointEntry> staying =
        parts.fleet().picture().endpointsOf(group).stream()
            .filter(entry -> !entry.draining())
            .toList();
    List<EndpointEntry> others =
        staying.stream()
            .filter(entry -> !claim.record().primary().equals(Optional.of(entry.id())))
            .toList();
    return survey.ask(others.isEmpty() ? staying : others);
  }
}

package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.feed.ClockReading;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.tinylog.Logger;

/**
 * Carries out one replacement of a primary: claims it in the shared record, ensures that the old
 * primary is no longer in use, promotes the most advanced replica, and records the new primary.
 *
 * <p>Each claim has its own version, which gives the fencing token of the promotion. A request is
 * only sent under a recent claim; other proxies take over only an old one. The age is checked
 * directly before a request is sent, since the process can stand still before.
 */
final class PrimaryReplacement {
  /** A claim older than this is renewed before a promotion is requested under it. */
  private static final Duration RENEWAL_AGE = Duration.ofMillis(1_000);

  /**
   * Under an older claim nothing is requested: the request must arrive before a takeover, and
   * before the record is confirmed after a return of the store from an older copy.
   */
  private static final Duration MAX_CLAIM_AGE = Duration.ofMillis(1_200);

  /** Time for the other proxies to see a planned replacement before the primary is fenced. */
  private static final Duration PLANNED_FENCING_DELAY = Duration.ofMillis(40);

  private static final Duration RETRY_INTERVAL = Duration.ofMillis(50);
  private static final Duration STATUS_POLL_INTERVAL = Duration.ofMillis(30);

  /** While endpoints that may be back at any time are waited for. */
  private static final Duration LONG_STATUS_POLL_INTERVAL = Duration.ofMillis(200);

  /** How long a replica may take to catch up with the fenced primary; the rest is then lost. */
  private static final Duration CATCH_UP_TIMEOUT = Duration.ofMillis(700);

  /** How long a promoted endpoint may take to become primary before the request is repeated. */
  private static final Duration PROMOTION_TIMEOUT = Duration.ofMillis(1_500);

  /** How long one run lasts; the replacement then goes on with the next claim. */
  private static final Duration REPLACEMENT_TIMEOUT = Duration.ofSeconds(25);

  /** Between tries to fence an old primary that may come back with the missing commits. */
  private static final Duration FENCING_INTERVAL = Duration.ofMillis(500);

  private static final Duration BACKGROUND_FENCING_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration BACKGROUND_FENCING_INTERVAL = Duration.ofMillis(150);

  private final FailoverDependencies dependencies;
  private final GroupId group;
  private final GroupStatusPoller statusPoller;
  private final EndpointUptime uptime;
  private final Set<EndpointId> refusedEndpoints = new HashSet<>();
  private RecordedPrimary claim;
  private ClockReading claimedAt;
  private boolean oldPrimaryUnused;
  private boolean waitsForSilent;
  private Instant nextFencing = Instant.MIN;
  private final PrimaryUsers users;

  PrimaryReplacement(FailoverDependencies dependencies, RecordedPrimary recorded) {
    this.dependencies = dependencies;
    this.group = recorded.record().group();
    this.claim = recorded;
    this.users = new PrimaryUsers(dependencies, group);
    this.statusPoller = new GroupStatusPoller(group, dependencies);
    this.uptime = new EndpointUptime(dependencies.pools(), dependencies.clock());
  }

  /**
   * Runs until the group has a primary again, another proxy takes over, or the time limit is
   * reached.
   *
   * @return whether the group has a primary again
   */
  boolean run(boolean planned) {
    if (!claim(planned)) {
      return false;
    }
    claim.applyTo(dependencies.groupStates().of(group));
    Instant deadline = dependencies.clock().instant().plus(REPLACEMENT_TIMEOUT);
    Optional<EndpointStatus> fenced = stopOldPrimary(planned, deadline);
    users.logRemaining();
    if (fenced.isEmpty() && !oldPrimaryUnused) {
      Logger.warn("{}: replacement cancelled: the old primary may still be in use", group);
      return false;
    }
    return completeCopies() && promote(fenced, deadline);
  }

  /**
   * Records that no other log than those known by now can get an acknowledged commit, so that a
   * later holder neither misses one nor waits for one that has none.
   */
  private boolean completeCopies() {
    if (!dependencies.hasSynchronousReplicas(group) || claim.record().copies().complete()) {
      return true;
    }
    LogCopies copies = claim.record().copies().with(statusPoller.listedCopies()).asComplete(true);
    return write(claim.record().withCopies(copies));
  }

  /** Claims the replacement or renews the claim; returns false if another proxy has claimed it. */
  private boolean claim(boolean planned) {
    PrimaryRecord next =
        claim.record().withReplacement(new Replacement(dependencies.self(), planned));
    boolean synchronous = dependencies.hasSynchronousReplicas(group);
    return write(
        synchronous ? next.withCopies(next.copies().with(statusPoller.listedCopies())) : next);
  }

  private boolean write(PrimaryRecord next) {
    final ClockReading sentAt = dependencies.now();
    Either<RecordFailure, RecordedPrimary> written = dependencies.write(next, claim.version());
    if (written.isLeft()) {
      Logger.info(
          "{}: could not claim the replacement in the shared record of version {}: {}",
          group,
          claim.version(),
          written.getLeft());
      return false;
    }
    claim = written.get();
    claimedAt = sentAt;
    refusedEndpoints.clear();
    return true;
  }

  /** Renews the claim if necessary; twice if the first renewal was answered too late. */
  private boolean ensureRecentClaim() {
    boolean planned = claim.record().replacement().orElseThrow().planned();
    if (isClaimYoungerThan(RENEWAL_AGE)) {
      return true;
    }
    return claim(planned) && (isClaimRecent() || (claim(planned) && isClaimRecent()));
  }

  /** Returns whether nobody can have taken the claim over. */
  private boolean isClaimRecent() {
    return isClaimYoungerThan(MAX_CLAIM_AGE);
  }

  private boolean isClaimYoungerThan(Duration age) {
    return claimedAt.elapsedAt(dependencies.now()).compareTo(age) < 0;
  }

  /**
   * Fences the old primary or, if this proxy can't reach it, waits until no proxy uses it.
   *
   * @return the status of the old primary if this proxy fenced it
   */
  private Optional<EndpointStatus> stopOldPrimary(boolean planned, Instant deadline) {
    if (planned) {
      dependencies.sleeper().sleep(PLANNED_FENCING_DELAY);
    }
    Optional<EndpointStatus> fenced = fence();
    if (fenced.isPresent()) {
      return fenced;
    }
    if (planned && !claim(false)) {
      return Optional.empty();
    }
    claim.record().primary().ifPresent(dependencies.pools()::closeAll);
    while (dependencies.clock().instant().isBefore(deadline) && ensureRecentClaim()) {
      if (users.haveStopped(claim)) {
        oldPrimaryUnused = true;
        return Optional.empty();
      }
      fenced = fence();
      if (fenced.isPresent()) {
        return fenced;
      }
      dependencies.sleeper().sleep(RETRY_INTERVAL);
    }
    return Optional.empty();
  }

  private Optional<EndpointStatus> fence() {
    return oldPrimary()
        .flatMap(old -> dependencies.administration().fence(old, claim.record().term().next()));
  }

  private boolean promote(Optional<EndpointStatus> fenced, Instant deadline) {
    PrimaryRecord record = claim.record();
    PromotionChoice choice =
        new PromotionChoice(
            () -> dependencies.synchronousReplicas(group),
            record.primary(),
            record.term(),
            record.copies());
    fenced.ifPresent(choice::primaryFenced);
    Instant catchUpEnd = dependencies.clock().instant().plus(CATCH_UP_TIMEOUT);
    while (dependencies.clock().instant().isBefore(deadline)) {
      boolean mayWait = dependencies.clock().instant().isBefore(catchUpEnd);
      List<Candidate> candidates = poll(choice, mayWait);
      Optional<Candidate> newPrimary =
          Candidate.primaryOfLaterTerm(candidates, claim.record().term());
      if (newPrimary.isPresent()) {
        return recordPrimary(newPrimary.get());
      }
      Optional<Candidate> best = choice.choose(selectable(candidates), mayWait);
      if (best.isEmpty()) {
        if (!canWait(choice)) {
          return false;
        }
        boolean waitsLong = !mayWait && choice.mayLackCommits();
        dependencies.sleeper().sleep(waitsLong ? LONG_STATUS_POLL_INTERVAL : STATUS_POLL_INTERVAL);
        continue;
      }
      if (!ensureRecentClaim()) {
        return false;
      }
      choice.logGivenUp(group, best.get());
      requestPromotion(best.get());
    }
    return false;
  }

  /**
   * Returns the endpoints that answer: the old primary only if it may have to lead again, since it
   * has every commit that it has acknowledged.
   */
  private List<Candidate> poll(PromotionChoice choice, boolean mayWait) {
    List<EndpointEntry> listed = statusPoller.listed();
    List<EndpointEntry> others =
        listed.stream()
            .filter(entry -> !claim.record().primary().equals(Optional.of(entry.id())))
            .toList();
    List<Candidate> candidates = statusPoller.poll(others);
    choice.observe(listed, candidates, dependencies.clock().instant());
    candidates.stream()
        .filter(choice::isInDoubt)
        .map(Candidate::entry)
        .filter(entry -> uptime.hasRunFor(PromotionChoice.ENTRY_LIFETIME, entry))
        .forEach(choice::confirmUptime);
    boolean misses =
        dependencies.hasSynchronousReplicas(group)
            && !mayWait
            && choice.choose(selectable(candidates), false).isEmpty();
    return others.isEmpty() || (misses && isOldPrimaryDue(choice))
        ? withOldPrimary(candidates)
        : candidates;
  }

  /**
   * Fences an old primary that is back, and returns whether it is to be asked: it may have to lead
   * again, or lead already by the request of an earlier holder.
   */
  private boolean isOldPrimaryDue(PromotionChoice choice) {
    Instant now = dependencies.clock().instant();
    if (choice.isPrimaryFenced()) {
      return true;
    }
    if (now.isBefore(nextFencing)) {
      return false;
    }
    nextFencing = now.plus(FENCING_INTERVAL);
    fence().ifPresent(choice::primaryFenced);
    return true;
  }

  /**
   * Waits for the copies of the log that may have the only copy of acknowledged commits, without an
   * end: no time makes up for a commit. The claim is kept only while all of them have left the
   * list: a proxy that reaches one which is listed may take over.
   */
  private boolean canWait(PromotionChoice choice) {
    if (!choice.mayLackCommits()) {
      return recordCopies();
    }
    if (!waitsForSilent) {
      waitsForSilent = true;
      Logger.warn(
          "{}: no promotion yet: acknowledged commits may be only in the log of the primary and of"
              + " {}, which do not answer; position needed otherwise: {}",
          group,
          choice.silent(),
          choice.needed());
    }
    boolean mayBeReached = oldPrimary().isPresent() || !choice.missesOnlyUnlisted();
    return recordCopies() && (mayBeReached || ensureRecentClaim());
  }

  /** Records copies that have begun to drain: a later holder has to know their successors. */
  private boolean recordCopies() {
    LogCopies known = claim.record().copies();
    return !dependencies.hasSynchronousReplicas(group)
        || known.with(statusPoller.listedCopies()).equals(known)
        || claim(claim.record().replacement().orElseThrow().planned());
  }

  private List<Candidate> selectable(List<Candidate> candidates) {
    return candidates.stream()
        .filter(candidate -> !refusedEndpoints.contains(candidate.entry().id()))
        .toList();
  }

  private void requestPromotion(Candidate best) {
    Logger.info(
        "{}: requesting promotion of {} at log position {}, token {}",
        group,
        best.entry().id(),
        best.status().received(),
        claim.version().asToken());
    PromotionClient.Result result =
        dependencies
            .promotionClient()
            .promote(
                group,
                best.entry().id(),
                dependencies.self(),
                claim.version().asToken(),
                this::isClaimRecent);
    Logger.info("{}: promotion request for {}: {}", group, best.entry().id(), result);
    if (result == PromotionClient.Result.REFUSED) {
      refusedEndpoints.add(best.entry().id());
      return;
    }
    if (result == PromotionClient.Result.NOT_TAKEN) {
      dependencies.sleeper().sleep(RETRY_INTERVAL);
      return;
    }
    Instant limit = dependencies.clock().instant().plus(PROMOTION_TIMEOUT);
    while (dependencies.clock().instant().isBefore(limit)) {
      dependencies.sleeper().sleep(STATUS_POLL_INTERVAL);
      Either<Failure, EndpointStatus> status = dependencies.administration().status(best.entry());
      if (status.isRight()
          && new Candidate(best.entry(), status.get())
              .isPrimaryOfLaterTerm(claim.record().term())) {
        return;
      }
    }
  }

  private boolean recordPrimary(Candidate newPrimary) {
    final EndpointId next = newPrimary.entry().id();
    final Term term = newPrimary.status().term();
    final Optional<EndpointEntry> old = oldPrimary();
    PrimaryRecord updated = claim.record().withPrimary(next, term, newPrimary.status().received());
    boolean written =
        dependencies
            .write(updated, claim.version())
            .peek(_ -> Logger.info("{}: recorded {} as primary of term {}", group, next, term))
            .peekLeft(
                failure -> Logger.warn("{}: could not record the new primary: {}", group, failure))
            .isRight();
    old.filter(entry -> !entry.id().equals(next))
        .ifPresent(entry -> dependencies.executor().execute(() -> fenceInBackground(entry, term)));
    return written;
  }

  /**
   * Keeps trying to fence the old primary as early as possible: one that becomes reachable again
   * still acts as primary until it is fenced.
   */
  private void fenceInBackground(EndpointEntry old, Term term) {
    Instant deadline = dependencies.clock().instant().plus(BACKGROUND_FENCING_TIMEOUT);
    while (dependencies.clock().instant().isBefore(deadline)) {
      if (dependencies.administration().fence(old, term).isPresent()) {
        return;
      }
      dependencies.sleeper().sleep(BACKGROUND_FENCING_INTERVAL);
    }
  }

  private Optional<EndpointEntry> oldPrimary() {
    return claim.record().primary().flatMap(dependencies::findEndpoint);
  }

  /** Adds the old primary, if it answers: it has every commit that it has acknowledged. */
  private List<Candidate> withOldPrimary(List<Candidate> others) {
    List<Candidate> all = new ArrayList<>(others);
    all.addAll(statusPoller.poll(oldPrimary().stream().toList()));
    return all;
  }
}

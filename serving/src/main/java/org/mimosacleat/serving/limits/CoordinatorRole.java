package org.mimosacleat.serving.limits;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.core.admission.GrantTimes;
import org.mimosacleat.core.admission.LimitCoordinator;
import org.mimosacleat.core.admission.Limits;
import org.mimosacleat.core.admission.ShareGrants;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.Member;
import org.mimosacleat.core.placement.RankedMembers;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.version.StoreVersion;
import org.tinylog.Logger;

/**
 * Knows which proxy is the limit coordinator, and is the coordinator if the row of the store names
 * this proxy. Thread-safe; only {@link #refresh} and {@link #coordinatorSilent} call the store.
 */
final class CoordinatorRole {
  /** All proxies rank the candidates for the row in the same order. */
  private static final GroupId RANKING = new GroupId("limit-coordinator");

  private static final AvailabilityZone ANY_ZONE = new AvailabilityZone("any");

  private final VmId self;
  private final InstantSource clock;
  private final CoordinatorRecords records;
  private final Limits limits;
  private final TeamHomes homes;
  private final Supplier<Collection<VmId>> members;
  private Optional<VmId> known = Optional.empty();
  private Optional<LimitCoordinator> own = Optional.empty();
  private Instant freshUntil = Instant.MIN;
  private boolean claimSent;

  CoordinatorRole(
      VmId self,
      InstantSource clock,
      CoordinatorRecords records,
      Limits limits,
      TeamHomes homes,
      Supplier<Collection<VmId>> members) {
    this.self = self;
    this.clock = clock;
    this.records = records;
    this.limits = limits;
    this.homes = homes;
    this.members = members;
  }

  synchronized Optional<VmId> coordinator() {
    return known;
  }

  synchronized boolean isOwn() {
    return own.isPresent();
  }

  synchronized void follow(VmId coordinator) {
    if (own.isEmpty() && !coordinator.equals(self)) {
      known = Optional.of(coordinator);
    }
  }

  synchronized LimitAnswer handle(DemandReport report) {
    Optional<ShareGrants> grants = own.flatMap(each -> each.handle(report, freshUntil));
    if (grants.isPresent()) {
      return new LimitAnswer.Granted(grants.get());
    }
    boolean fresh = own.isPresent() && clock.instant().isBefore(freshUntil);
    Optional<VmId> other = known.filter(vm -> !vm.equals(self));
    return new LimitAnswer.NotGranted(fresh ? Optional.of(self) : other);
  }

  /**
   * Reads the row; claims it if it has never been written and this proxy is ranked first.
   *
   * @return whether the store has answered
   */
  boolean refresh() {
    Instant sentAt = clock.instant();
    Either<RecordFailure, RecordedCoordinator> read = records.read();
    if (read.isRight()) {
      apply(read.get(), sentAt);
      if (read.get().row().isEmpty() && rank(Optional.empty()) == 0) {
        claim(read.get());
      }
    }
    return read.isRight();
  }

  /**
   * Reads the row, and claims it if it still names a coordinator that does not answer.
   *
   * @param silent the coordinator that does not answer, if one is known
   * @param rounds how often in a row it has been silent; with each, one more candidate may claim
   * @return whether the store has answered
   */
  boolean coordinatorSilent(Optional<VmId> silent, int rounds) {
    Instant sentAt = clock.instant();
    Either<RecordFailure, RecordedCoordinator> read = records.read();
    if (read.isLeft()) {
      return false;
    }
    apply(read.get(), sentAt);
    Optional<VmId> named = read.get().row().map(CoordinatorRow::coordinator);
    boolean otherNamed = named.isPresent() && !named.equals(silent);
    if (!otherNamed && !named.equals(Optional.of(self)) && rank(named) < rounds) {
      claim(read.get());
    }
    return true;
  }

  private void claim(RecordedCoordinator recorded) {
    long epoch = recorded.row().map(CoordinatorRow::epoch).orElse(0L) + 1;
    Instant sentAt = clock.instant();
    synchronized (this) {
      claimSent = true;
    }
    Either<RecordFailure, StoreVersion> claimed =
        records.claim(new CoordinatorRow(self, epoch), recorded.version());
    if (claimed.isRight()) {
      Logger.info("limit coordinator from epoch {} on, in place of {}", epoch, recorded.row());
      become(sentAt);
    }
  }

  private synchronized void apply(RecordedCoordinator recorded, Instant sentAt) {
    Optional<VmId> named = recorded.row().map(CoordinatorRow::coordinator);
    if (named.equals(Optional.of(self))) {
      become(sentAt);
      return;
    }
    if (own.isPresent()) {
      Logger.info("no longer limit coordinator; the row names {}", named);
    }
    own = Optional.empty();
    known = named;
  }

  /** A claim whose answer was lost counts as a takeover. */
  private synchronized void become(Instant sentAt) {
    if (own.isEmpty()) {
      Duration wait = claimSent ? GrantTimes.TAKEOVER_WAIT : GrantTimes.RESTART_WAIT;
      CachedFloors floors = new CachedFloors(clock, limits, homes, members);
      own = Optional.of(new LimitCoordinator(clock, clock.instant().plus(wait), limits, floors));
      claimSent = false;
    }
    known = Optional.of(self);
    Instant until = sentAt.plus(GrantTimes.FRESHNESS);
    freshUntil = until.isAfter(freshUntil) ? until : freshUntil;
  }

  /** Returns this proxy's place among the candidates, from 0. */
  private int rank(Optional<VmId> silent) {
    List<Member> candidates =
        members.get().stream()
            .filter(vm -> !silent.equals(Optional.of(vm)))
            .sorted(Comparator.naturalOrder())
            .map(vm -> new Member(vm, ANY_ZONE))
            .toList();
    int rank = RankedMembers.of(RANKING, candidates).indexOf(self);
    return rank < 0 ? Integer.MAX_VALUE : rank;
  }
}

package org.mimosacleat.serving.limits;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.core.admission.GrantHolder;
import org.mimosacleat.core.admission.GrantTimes;
import org.mimosacleat.core.admission.HomeFloors;
import org.mimosacleat.core.admission.Limits;
import org.mimosacleat.core.admission.TeamLimit;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.process.RepeatedStep;

/**
 * Admits operations up to this proxy's shares of the teams' limits, and reports demand to the limit
 * coordinator in the background. Nothing runs while no team has a limit.
 */
public final class FleetTeamLimits implements TeamLimits {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);
  private static final Duration EARLY_REPORT_INTERVAL = Duration.ofMillis(100);
  private static final Duration MIN_ROW_READ_PAUSE = Duration.ofMillis(500);
  private static final Duration MAX_ROW_READ_PAUSE = Duration.ofSeconds(4);
  private static final Duration ROW_READ_INTERVAL = Duration.ofSeconds(1);
  private static final Duration MAX_SILENCE = Duration.ofMillis(1_500);

  /** How long the first operation of a team without a share waits for its grant. */
  private static final Duration FIRST_GRANT_WAIT = Duration.ofMillis(100);

  /** After this part of the wait, the row is read again. */
  private static final Duration ANSWER_WAIT = Duration.ofMillis(50);

  private static final Duration FIRST_GRANT_CHECK_INTERVAL = Duration.ofMillis(5);

  /** A team that got no grant waits again only after this time, so that refusals are immediate. */
  private static final Duration FIRST_GRANT_RETRY_INTERVAL = Duration.ofSeconds(2);

  private final VmId self;
  private final InstantSource clock;
  private final Limits limits;
  private final TeamHomes homes;
  private final LimitPeers peers;
  private final ExecutorService executor;
  private final Sleeper sleeper;
  private final GrantHolder holder;
  private final CoordinatorRole role;
  private final AtomicBoolean running = new AtomicBoolean();
  private final AtomicBoolean readingRow = new AtomicBoolean();
  private final Map<TeamId, Instant> firstGrantWaits = new ConcurrentHashMap<>();
  private volatile boolean reportRequested;

  /** When the first report since the last answer was sent; a pause of this proxy is no silence. */
  private volatile Instant unansweredSince = Instant.MAX;

  private volatile int silentRounds;
  private Instant lastReportAt = Instant.MIN;
  private Instant lastRowReadAt = Instant.MIN;
  private volatile Instant nextRowRead = Instant.MIN;
  private volatile Duration rowReadPause = MIN_ROW_READ_PAUSE;

  /**
   * Creates limits without grants.
   *
   * @param tolerance operations above a limit that the homes of a team may admit in a window
   * @param members returns all proxies, this one included
   */
  public FleetTeamLimits(
      VmId self,
      InstantSource clock,
      Limits limits,
      TeamHomes homes,
      double tolerance,
      Supplier<Collection<VmId>> members,
      CoordinatorRecords records,
      LimitPeers peers,
      ExecutorService executor,
      Sleeper sleeper) {
    this.self = self;
    this.clock = clock;
    this.limits = limits;
    this.homes = homes;
    this.peers = peers;
    this.executor = executor;
    this.sleeper = sleeper;
    this.holder = new GrantHolder(self, clock, limits, this::floor, tolerance);
    this.role = new CoordinatorRole(self, clock, records, limits, homes, members);
  }

  @Override
  public Either<Failure, Void> admit(TeamId team) {
    Optional<TeamLimit> limit = limits.of(team);
    if (limit.isEmpty()) {
      return Either.right(null);
    }
    holder.recordDemand(team);
    boolean admitted =
        holder.tryAcquire(team) || (mayAwaitFirstGrant(team, limit.get()) && awaitFirstGrant(team));
    return admitted ? Either.right(null) : Either.left(refusal(team));
  }

  /** Starts or ends the reports after a change of the configuration or its first arrival. */
  public void configurationChanged() {
    if (!limits.teams().isEmpty() && running.compareAndSet(false, true)) {
      executor.execute(this::run);
    }
  }

  /** Answers a report of another proxy. */
  public LimitAnswer handle(DemandReport report) {
    return role.handle(report);
  }

  private long floor(TeamId team, TeamLimit limit) {
    return HomeFloors.units(limit, homes.homeGroups(self, team), homes.groups());
  }

  private boolean mayAwaitFirstGrant(TeamId team, TeamLimit limit) {
    if (holder.hasGrant(team) || floor(team, limit) > 0) {
      return false;
    }
    Instant now = clock.instant();
    Instant started =
        firstGrantWaits.merge(
            team, now, (old, _) -> now.isBefore(old.plus(FIRST_GRANT_RETRY_INTERVAL)) ? old : now);
    return now.isBefore(started.plus(FIRST_GRANT_WAIT));
  }

  private boolean awaitFirstGrant(TeamId team) {
    Instant start = clock.instant();
    executor.execute(this::report);
    if (!awaitGrant(team, start.plus(ANSWER_WAIT))) {
      // A proxy that has had nothing to report may know only an earlier coordinator.
      readRow(this::refreshAndReport);
      awaitGrant(team, start.plus(FIRST_GRANT_WAIT));
    }
    return holder.tryAcquire(team);
  }

  private boolean refreshAndReport() {
    boolean answered = role.refresh();
    report();
    return answered;
  }

  private boolean awaitGrant(TeamId team, Instant deadline) {
    while (clock.instant().isBefore(deadline) && !holder.hasGrant(team)) {
      sleeper.sleep(FIRST_GRANT_CHECK_INTERVAL);
    }
    return holder.hasGrant(team);
  }

  private Failure refusal(TeamId team) {
    String cause =
        holder.hasGrant(team) ? "its share at this proxy is used up" : "this proxy has no grant";
    String next =
        holder
            .timeToNextToken(team)
            .map(time -> "retry after " + time.plusNanos(999_999).toMillis() + " ms")
            .orElse("retry later");
    return new Failure(
        ErrorKind.OVER_ALLOWANCE, "team " + team + " is over its limit: " + cause + "; " + next);
  }

  private void run() {
    BooleanSupplier areLimited = () -> !limits.teams().isEmpty();
    new RepeatedStep("the limits of teams", this::next, sleeper).runWhile(areLimited);
    running.set(false);
    // A limit may have been added after the last check.
    if (!Thread.currentThread().isInterrupted()) {
      configurationChanged();
    }
  }

  private void next() {
    tick();
    sleeper.sleep(TICK);
  }

  /** Starts the store calls and reports that are due. */
  void tick() {
    Instant now = clock.instant();
    boolean unknown = role.coordinator().isEmpty();
    if ((unknown || role.isOwn()) && isDue(lastRowReadAt, ROW_READ_INTERVAL, now)) {
      lastRowReadAt = now;
      readRow(role::refresh);
    }
    if (!unknown && !role.isOwn() && now.minus(MAX_SILENCE).compareTo(unansweredSince) >= 0) {
      silentRounds++;
      unansweredSince = now;
      Optional<VmId> silent = role.coordinator();
      int rounds = silentRounds;
      readRow(() -> role.coordinatorSilent(silent, rounds));
    }
    Duration interval = holder.isReportDue() ? EARLY_REPORT_INTERVAL : REPORT_INTERVAL;
    if (isDue(lastReportAt, interval, now) || reportRequested) {
      reportRequested = false;
      lastReportAt = now;
      executor.execute(this::report);
    }
  }

  private static boolean isDue(Instant last, Duration interval, Instant now) {
    return last.equals(Instant.MIN) || !now.isBefore(last.plus(interval));
  }

  /** Reads the row unless an earlier read is still unanswered. */
  private void readRow(BooleanSupplier read) {
    boolean waits = clock.instant().isBefore(nextRowRead);
    if (waits || !readingRow.compareAndSet(false, true)) {
      return;
    }
    executor.execute(
        () -> {
          try {
            recordRowRead(read.getAsBoolean());
          } finally {
            readingRow.set(false);
          }
        });
  }

  /** While the store fails, the pause until the next read doubles up to its maximum. */
  private void recordRowRead(boolean answered) {
    Duration doubled = rowReadPause.multipliedBy(2);
    Duration longer = doubled.compareTo(MAX_ROW_READ_PAUSE) < 0 ? doubled : MAX_ROW_READ_PAUSE;
    rowReadPause = answered ? MIN_ROW_READ_PAUSE : longer;
    nextRowRead = clock.instant().plus(rowReadPause);
  }

  private void report() {
    Optional<VmId> coordinator = role.coordinator();
    Set<TeamId> teams = reportedTeams();
    if (coordinator.isEmpty() || teams.isEmpty()) {
      unansweredSince = Instant.MAX;
      return;
    }
    VmId to = coordinator.get();
    Instant sentAt = clock.instant();
    if (unansweredSince.equals(Instant.MAX)) {
      unansweredSince = sentAt;
    }
    DemandReport report = holder.nextReport(to, teams);
    Optional<LimitAnswer> answer =
        to.equals(self)
            ? Optional.of(role.handle(report))
            : peers.report(to, report, GrantTimes.LIFETIME);
    answer.ifPresent(present -> apply(present, to, report, sentAt));
  }

  private void apply(LimitAnswer answer, VmId from, DemandReport report, Instant sentAt) {
    switch (answer) {
      case LimitAnswer.Granted granted -> {
        holder.accept(from, report, granted.grants(), sentAt);
        answered();
      }
      case LimitAnswer.NotGranted(Optional<VmId> named) when named.equals(Optional.of(from)) ->
          answered();
      case LimitAnswer.NotGranted(Optional<VmId> named) -> {
        named.ifPresent(role::follow);
        reportRequested = named.isPresent();
      }
    }
  }

  private void answered() {
    unansweredSince = Instant.MAX;
    silentRounds = 0;
  }

  /** Returns the limited teams that are active here, and those of which this proxy is a home. */
  private Set<TeamId> reportedTeams() {
    Set<TeamId> teams = new HashSet<>(holder.activeTeams());
    for (TeamId team : limits.teams()) {
      if (homes.homeGroups(self, team) > 0) {
        teams.add(team);
      }
    }
    teams.removeIf(team -> limits.of(team).isEmpty());
    return teams;
  }
}

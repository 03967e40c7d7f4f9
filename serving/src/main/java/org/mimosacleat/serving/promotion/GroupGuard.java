package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.endpoint.EndpointPool;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.mimosacleat.serving.routing.GroupView;
import org.tinylog.Logger;

/**
 * Watches the primary of one group for this proxy: follows the shared record, stops the use of a
 * primary that is being replaced, and begins a replacement when the primary leaves or is lost.
 */
final class GroupGuard implements Runnable {
  private static final Duration CALM_INTERVAL = Duration.ofMillis(500);

  /** How long a replacement may make no progress before another proxy takes it over. */
  private static final Duration TAKEOVER_AFTER = Duration.ofMillis(3_000);

  private static final Duration LONGEST_STAGGER = Duration.ofMillis(120);
  private static final Duration LONGEST_FIRST_STAGGER = Duration.ofMillis(1_500);
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(600);
  private static final Duration BETWEEN_PROBES = Duration.ofMillis(150);
  private static final Duration MOST_DELAY = Duration.ofMillis(60);
  private static final int PROBES_BEFORE_LOST = 2;

  /** How long a group without any primary waits for one to report itself. */
  private static final Duration NO_PRIMARY_LIMIT = Duration.ofMillis(2_500);

  private final GroupId group;
  private final GuardParts parts;
  private final GroupView view;
  private final EndpointSurvey survey;
  private final LinkedBlockingQueue<Optional<String>> wakeups = new LinkedBlockingQueue<>();
  private long stoppedRound;
  private long seenVersion;
  private Instant seenAt;
  private Instant withoutPrimarySince;

  GroupGuard(GroupId group, GuardParts parts) {
    this.group = group;
    this.parts = parts;
    this.view = parts.views().of(group);
    this.survey = new EndpointSurvey(parts.administration(), parts.executor());
    this.seenAt = parts.clock().instant();
    this.withoutPrimarySince = parts.clock().instant();
  }

  /** Lets the guard look at the group at once. */
  void wake() {
    wakeups.offer(Optional.empty());
  }

  /** Lets the guard find out whether the primary still leads. */
  void doubt(String reason) {
    if (wakeups.isEmpty()) {
      wakeups.offer(Optional.of(reason));
    }
  }

  @Override
  public void run() {
    try {
      while (true) {
        Optional<String> reason = wakeups.poll(CALM_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        evaluate(reason == null ? Optional.empty() : reason);
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Looks at the group once; the reason, if any, is what casts doubt on the primary. */
  void evaluate(Optional<String> reason) {
    Optional<RecordedPrimary> known = parts.records().find(group);
    if (known.isEmpty()) {
      recordFirst();
      return;
    }
    RecordedPrimary recorded = known.get();
    if (recorded.version() != seenVersion) {
      seenVersion = recorded.version();
      seenAt = parts.clock().instant();
    }
    if (recorded.record().replacement().isPresent()) {
      followReplacement(recorded);
    } else {
      follow(recorded, reason);
    }
  }

  /** Writes the first record, once an endpoint has said that it is the primary. */
  private void recordFirst() {
    Optional<EndpointEntry> claimed = view.lastPrimary().flatMap(this::entry);
    if (claimed.isEmpty()) {
      return;
    }
    stagger(LONGEST_FIRST_STAGGER);
    if (parts.records().find(group).isPresent()) {
      return;
    }
    Either<Failure, EndpointStatus> status = parts.administration().status(claimed.get());
    if (status.isLeft() || status.get().role() != EndpointRole.PRIMARY) {
      return;
    }
    PrimaryRecord first =
        new PrimaryRecord(
            group, Optional.of(claimed.get().id()), status.get().term(), 0, Optional.empty());
    parts
        .shared()
        .writePrimary(first, RecordedPrimary.ABSENT)
        .peek(version -> parts.records().put(new RecordedPrimary(first, version)));
  }

  private void follow(RecordedPrimary recorded, Optional<String> reason) {
    PrimaryRecord record = recorded.record();
    record.primary().ifPresent(primary -> view.lead(primary, record.term()));
    parts.fleet().signal();
    if (view.term().isAfter(record.term())) {
      followLeader(recorded, reason);
      return;
    }
    Optional<EndpointEntry> primary = record.primary().flatMap(this::entry);
    if (primary.isEmpty()) {
      replaceMissing(recorded);
      return;
    }
    withoutPrimarySince = parts.clock().instant();
    if (primary.get().draining() && reachesAnother(primary.get().id())) {
      begin(recorded, true, "the primary is draining");
      return;
    }
    boolean doubted =
        reason.isPresent()
            || parts
                .pools()
                .find(primary.get().id())
                .map(p -> p.health().isSuspect())
                .orElse(false);
    if (doubted) {
      examine(recorded, primary.get(), reason.orElse("it is suspect"));
    }
  }

  /** A proxy that gets no processor time takes its own delay for that of others. */
  private boolean wasHeldUp() {
    Instant before = parts.clock().instant();
    parts.sleeper().sleep(BETWEEN_PROBES);
    Duration waited = Duration.between(before, parts.clock().instant());
    return waited.minus(BETWEEN_PROBES).compareTo(MOST_DELAY) > 0;
  }

  /** The endpoints themselves have told of a later term than the record that has come so far. */
  private void followLeader(RecordedPrimary recorded, Optional<String> reason) {
    if (reason.isPresent()) {
      findLeader(recorded.record().term());
    }
  }

  /** Asks all endpoints who leads, and follows one that leads a later term. */
  private boolean findLeader(Term known) {
    Optional<Candidate> leader =
        survey.ask(parts.fleet().picture().endpointsOf(group)).stream()
            .filter(candidate -> candidate.leadsAfter(known))
            .max(Comparator.comparing(candidate -> candidate.status().term()));
    leader.ifPresent(
        candidate -> {
          Logger.info(
              "{}: following {}, which leads term {}, ahead of the record of term {}",
              group,
              candidate.entry().id(),
              candidate.status().term(),
              known);
          view.lead(candidate.entry().id(), candidate.status().term());
          parts.fleet().signal();
        });
    return leader.isPresent();
  }

  private void replaceMissing(RecordedPrimary recorded) {
    boolean waited =
        Duration.between(withoutPrimarySince, parts.clock().instant()).compareTo(NO_PRIMARY_LIMIT)
            > 0;
    boolean hasOthers = !parts.fleet().picture().endpointsOf(group).isEmpty();
    if (waited && hasOthers) {
      begin(recorded, false, "the primary is gone from the list");
    }
  }

  /** Finds out whether a doubted primary still leads, and whether the doubt is this proxy's own. */
  private void examine(RecordedPrimary recorded, EndpointEntry primary, String reason) {
    for (int probe = 0; probe < PROBES_BEFORE_LOST; probe++) {
      Either<Failure, EndpointStatus> status = parts.administration().status(primary);
      if (status.isRight() && status.get().role() == EndpointRole.PRIMARY) {
        return;
      }
      if (status.isRight()) {
        if (!findLeader(recorded.record().term())) {
          begin(recorded, true, "the primary has become a replica");
        }
        return;
      }
      boolean unreachable = status.getLeft().kind() == ErrorKind.UNAVAILABLE;
      if (!unreachable || wasHeldUp() || hasChanged(recorded)) {
        return;
      }
    }
    if (findLeader(recorded.record().term())) {
      return;
    }
    if (!reachesAnother(primary.id())) {
      Logger.warn("{}: neither the primary nor another endpoint can be reached", group);
      return;
    }
    begin(recorded, false, "the primary " + primary.id() + " is lost: " + reason);
  }

  private boolean reachesAnother(EndpointId primary) {
    List<EndpointEntry> others =
        parts.fleet().picture().endpointsOf(group).stream()
            .filter(entry -> !entry.id().equals(primary))
            .toList();
    return !survey.ask(others).isEmpty();
  }

  private void begin(RecordedPrimary recorded, boolean planned, String reason) {
    stagger(LONGEST_STAGGER);
    if (hasChanged(recorded)) {
      return;
    }
    Logger.info(
        "{}: replacing the primary {} of term {}, planned {}: {}",
        group,
        recorded.record().primary(),
        recorded.record().term(),
        planned,
        reason);
    if (!new PrimaryReplacement(parts, recorded).run(planned)) {
      stagger(PAUSE_AFTER_FAILURE);
    }
  }

  private void followReplacement(RecordedPrimary recorded) {
    PrimaryRecord record = recorded.record();
    view.pause(record.term());
    Replacement replacement = record.replacement().orElseThrow();
    if (!replacement.planned() && stoppedRound != record.round()) {
      stop(record);
    }
    boolean stalled =
        Duration.between(seenAt, parts.clock().instant()).compareTo(TAKEOVER_AFTER) > 0;
    if (stalled) {
      begin(
          recorded,
          replacement.planned(),
          "the replacement by " + replacement.holder() + " makes no progress");
    }
  }

  /** Fences the primary if this proxy reaches it, ends its use otherwise, and says so. */
  private void stop(PrimaryRecord record) {
    boolean fenced = fence(record);
    if (!fenced) {
      record.primary().flatMap(parts.pools()::find).ifPresent(EndpointPool::abandon);
    }
    StopRecord stop = new StopRecord(group, parts.self(), record.round(), fenced);
    parts
        .shared()
        .writeStop(stop)
        .peek(_ -> stoppedRound = record.round())
        .peekLeft(
            failure ->
                Logger.warn(
                    "{}: stop of round {} not recorded: {}", group, record.round(), failure));
    Logger.info("{}: stopped the use of term {}, fenced {}", group, record.term(), fenced);
    if (stoppedRound != record.round()) {
      wake();
    }
  }

  private boolean fence(PrimaryRecord record) {
    Term next = record.term().next();
    return record
        .primary()
        .flatMap(this::entry)
        .flatMap(entry -> parts.administration().fence(entry, next))
        .isPresent();
  }

  private boolean hasChanged(RecordedPrimary recorded) {
    return parts.records().find(group).filter(now -> now.version() == recorded.version()).isEmpty();
  }

  private Optional<EndpointEntry> entry(EndpointId id) {
    return Optional.ofNullable(parts.fleet().picture().endpoints().get(id));
  }

  private void stagger(Duration longest) {
    parts.sleeper().sleep(Duration.ofNanos(parts.random().nextLong(longest.toNanos())));
  }
}

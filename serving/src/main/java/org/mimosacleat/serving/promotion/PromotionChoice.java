package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.tinylog.Logger;

/**
 * Chooses the endpoint that replaces a primary which nobody uses any longer, from what the others
 * report.
 *
 * <p>With synchronous replicas every acknowledged commit is in so many of the group's copies of the
 * log, or before the required position. The choice is certain if it includes that position and all
 * that any copy was heard to have, and fewer copies than that number were not heard; or if it
 * includes the end of the primary's own log. There is no other choice, whatever time has passed.
 * Without synchronous replicas the most advanced endpoint that answers is chosen.
 *
 * <p>An endpoint that has started again reports a shorter log, perhaps before its entry shows the
 * new start, and perhaps the longest of all if the others lag more. So an endpoint counts as heard
 * only if it is known to have run for longer than an entry is listed that its endpoint no longer
 * writes, or once its entry has stayed for so long.
 */
final class PromotionChoice {
  /** Longer than an entry is listed that its endpoint no longer writes. */
  static final Duration ENTRY_LIFETIME = Duration.ofMillis(4_500);

  /** Orders endpoints whose logs suffice: one that drains has to be replaced again soon. */
  private static final Comparator<Candidate> BY_STATE_LOG_POSITION_AND_UPTIME =
      Comparator.comparing((Candidate candidate) -> !candidate.entry().draining())
          .thenComparing(Candidate.BY_LOG_POSITION_AND_UPTIME);

  private final IntSupplier synchronousReplicas;
  private final Optional<EndpointId> primary;
  private final Term term;

  /** Whether the group had synchronous replicas when its copies were recorded. */
  private final boolean wasSynchronous;

  private LogCopies copies;
  private List<LogCopy> listed = List.of();
  private final List<Report> reports = new ArrayList<>();
  private final List<LogCopy> continuous = new ArrayList<>();
  private Instant observedAt = Instant.MIN;
  private Position highest = Position.NONE;

  /** The latest position of an endpoint that knows the primary's term. */
  private Position highestOfTerm = Position.NONE;

  private Optional<Position> primaryEnd = Optional.empty();

  /** Whether whoever reported that end knows the primary's term, and so has not lost its log. */
  private boolean hasPrimaryItsLog;

  /** Whether that end was reported by a successor. */
  private boolean isEndOfSuccessor;

  /**
   * Creates a choice that has heard no endpoint.
   *
   * @param synchronousReplicas how many endpoints other than the primary have each acknowledged
   *     commit; asked again each time, since an operator may give up commits by a lower number
   * @param primary the endpoint that is replaced
   * @param term the term of that endpoint
   * @param copies where acknowledged commits may be, as far as it is recorded
   */
  PromotionChoice(
      IntSupplier synchronousReplicas, Optional<EndpointId> primary, Term term, LogCopies copies) {
    this.synchronousReplicas = synchronousReplicas;
    this.primary = primary;
    this.term = term;
    this.wasSynchronous = copies.areKept();
    this.copies = copies;
  }

  /** Records the status of the primary, which was fenced. */
  void primaryFenced(EndpointStatus status) {
    primaryEnd = Optional.of(status.received());
    hasPrimaryItsLog = knowsTerm(status);
  }

  /** Returns whether the end of the primary's log is known. */
  boolean isPrimaryFenced() {
    return primaryEnd.isPresent();
  }

  /** Records the endpoints that are listed now, and those other than the primary that answered. */
  void observe(List<EndpointEntry> present, List<Candidate> answered, Instant now) {
    observedAt = now;
    listed = present.stream().map(LogCopy::of).toList();
    copies = copies.with(listed);
    highest = Position.latest(highest, latest(answered));
    List<Candidate> ofTerm =
        answered.stream().filter(candidate -> knowsTerm(candidate.status())).toList();
    highestOfTerm = Position.latest(highestOfTerm, latest(ofTerm));
    answered.forEach(candidate -> put(LogCopy.of(candidate.entry()), candidate));
    answered.forEach(this::observeSuccession);
  }

  private void put(LogCopy copy, Candidate candidate) {
    LogCopy source = LogCopy.of(candidate.entry());
    Optional<Report> before = reports.stream().filter(report -> report.isOf(copy)).findFirst();
    before.ifPresent(reports::remove);
    Instant since =
        before.filter(report -> report.isFrom(source)).map(Report::since).orElse(observedAt);
    reports.add(new Report(copy, source, candidate.status().received(), since));
  }

  /**
   * After a planned shutdown the next endpoint at the address has the log. One that knows an
   * earlier term only has lost it, and may have received a part from a former primary.
   */
  private void observeSuccession(Candidate successor) {
    LogCopy next = LogCopy.of(successor.entry());
    Position received = successor.status().received();
    boolean hasLost = received.log().equals(LogPosition.START) || !knowsTerm(successor.status());
    for (LogCopy copy : copies.copies()) {
      if (hasLost || isListed(copy) || !copy.isPassedOnTo(next)) {
        continue;
      }
      put(copy, successor);
      if (isPrimary(copy) && primaryEnd.isEmpty()) {
        primaryEnd = Optional.of(received);
        hasPrimaryItsLog = true;
        isEndOfSuccessor = true;
      }
    }
  }

  /** Returns whether it would help to know that an endpoint that answered has run for long. */
  boolean isInDoubt(Candidate candidate) {
    LogCopy source = LogCopy.of(candidate.entry());
    return synchronousReplicas.getAsInt() > 0
        && reports.stream()
            .filter(report -> report.isFrom(source) && copies.find(report.copy()).isPresent())
            .anyMatch(report -> !isReliable(report));
  }

  /** Records that an endpoint had run for {@link #ENTRY_LIFETIME} when it answered. */
  void confirmUptime(EndpointEntry entry) {
    continuous.add(LogCopy.of(entry));
  }

  /** Returns whether a report is of the start that is listed, and not of a later one. */
  private boolean isReliable(Report report) {
    boolean hasRun = continuous.stream().anyMatch(report::isFrom);
    boolean stayed = !observedAt.isBefore(report.since().plus(ENTRY_LIFETIME));
    return hasRun || (stayed && isListed(report.source()));
  }

  /**
   * Chooses among endpoints that have answered.
   *
   * @param selectable the endpoints that may be promoted, with their latest answers
   * @param mayWait whether an endpoint that lacks a part of the log may still receive it
   * @return the endpoint; empty if it is too early, or if acknowledged commits may be missing
   */
  Optional<Candidate> choose(List<Candidate> selectable, boolean mayWait) {
    boolean synchronous = synchronousReplicas.getAsInt() > 0;
    if (!synchronous || isPrimaryEndCertain()) {
      Optional<Candidate> complete = primaryEnd.flatMap(end -> bestIncluding(selectable, end));
      if (complete.isPresent() || (primaryEnd.isPresent() && mayWait)) {
        return complete;
      }
    }
    if (!synchronous) {
      return bestIncluding(selectable, latest(selectable));
    }
    return mayLackCommits() ? Optional.empty() : best(selectable, this::includesAll);
  }

  /**
   * Returns whether the primary that was fenced has its log: one that has started again may have
   * none, or a part that it has received from a former primary, and then lacks what others have
   * received from it.
   */
  private boolean isPrimaryEndCertain() {
    return primaryEnd
        .filter(_ -> hasPrimaryItsLog)
        .filter(end -> LogCopies.includes(end, copies.required()))
        .filter(end -> end.includes(isEndOfSuccessor ? highestOfTerm : highest))
        .filter(end -> !end.log().equals(LogPosition.START))
        .isPresent();
  }

  private boolean includesAll(Candidate candidate) {
    Position received = candidate.status().received();
    Position heard = knowsTerm(candidate.status()) ? highestOfTerm : highest;
    return received.includes(heard) && LogCopies.includes(received, copies.required());
  }

  /**
   * Returns whether an endpoint knows the primary's term. One that does not has no commit of that
   * term, and perhaps some that were given up with an earlier one.
   */
  private boolean knowsTerm(EndpointStatus status) {
    return !term.isAfter(status.term());
  }

  /**
   * Returns whether so many copies were not heard that they may have commits which no other has.
   */
  boolean mayLackCommits() {
    int needed = synchronousReplicas.getAsInt();
    return needed > 0 && silent().size() >= needed;
  }

  /** Returns the copies that were not heard. */
  List<LogCopy> silent() {
    return copies.copies().stream().filter(copy -> !isOfPrimary(copy) && !isHeard(copy)).toList();
  }

  private boolean isHeard(LogCopy copy) {
    return reports.stream().anyMatch(report -> report.isOf(copy) && isReliable(report));
  }

  /** Returns whether all copies that were not heard belong to endpoints that have left the list. */
  boolean missesOnlyUnlisted() {
    return silent().stream().noneMatch(this::isListed);
  }

  /** Logs what an operator has given up by a number of zero synchronous replicas. */
  void logGivenUp(GroupId group, Candidate chosen) {
    boolean proven = silent().isEmpty() && includesAll(chosen);
    if (synchronousReplicas.getAsInt() == 0 && wasSynchronous && !proven) {
      Logger.warn(
          "{}: promoting {} at log position {} without proof, since the configuration has no"
              + " synchronous replicas any longer; acknowledged commits that only {} have, and"
              + " those up to {}, are lost",
          group,
          chosen.entry().id(),
          chosen.status().received(),
          silent(),
          needed());
    }
  }

  /** Returns the position that the chosen endpoint has to include. */
  Position needed() {
    return Position.latest(copies.required(), highest);
  }

  private boolean isListed(LogCopy copy) {
    return listed.stream().anyMatch(copy::isSameAs);
  }

  /** Returns whether the primary has, or had at its start, all that a copy has. */
  private boolean isOfPrimary(LogCopy copy) {
    return isPrimary(copy)
        || copies.copies().stream()
            .filter(this::isPrimary)
            .anyMatch(own -> copy.isPassedOnTo(own) && !own.isPassedOnTo(copy));
  }

  private boolean isPrimary(LogCopy copy) {
    return primary.equals(Optional.of(copy.endpoint()));
  }

  private static Position latest(List<Candidate> candidates) {
    return candidates.stream()
        .map(candidate -> candidate.status().received())
        .reduce(Position.NONE, Position::latest);
  }

  private Optional<Candidate> bestIncluding(List<Candidate> selectable, Position needed) {
    return best(selectable, candidate -> candidate.status().received().includes(needed));
  }

  private Optional<Candidate> best(List<Candidate> selectable, Predicate<Candidate> suffices) {
    return selectable.stream()
        .filter(suffices)
        .max(
            Comparator.comparing(
                    (Candidate candidate) -> wasSynchronous && knowsTerm(candidate.status()))
                .thenComparing(BY_STATE_LOG_POSITION_AND_UPTIME));
  }

  /**
   * What an endpoint, or the one that has taken its log over, has reported last, and when that one
   * did first.
   */
  private record Report(LogCopy copy, LogCopy source, Position received, Instant since) {
    boolean isOf(LogCopy other) {
      return copy.isSameAs(other);
    }

    boolean isFrom(LogCopy other) {
      return source.isSameAs(other);
    }
  }
}

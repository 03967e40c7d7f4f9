package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;
import org.tinylog.Logger;

/**
 * Keeps the recorded copies of a group's log up to date while its primary is in use. A copy is
 * added as soon as its endpoint is listed. One that has ended is left out once so many others as
 * there are synchronous replicas have all that the primary had written after that end.
 */
final class LogCopyKeeper {
  /** How long an endpoint must be missing from the list before it is taken to have ended. */
  private static final Duration ABSENCE_TIMEOUT = Duration.ofSeconds(5);

  private static final Duration MAX_START_DELAY = Duration.ofMillis(120);

  private final GroupId group;
  private final FailoverDependencies dependencies;
  private final GroupStatusPoller statusPoller;
  private Map<LogCopy, Instant> absentSince = Map.of();

  LogCopyKeeper(GroupId group, FailoverDependencies dependencies) {
    this.group = group;
    this.dependencies = dependencies;
    this.statusPoller = new GroupStatusPoller(group, dependencies);
  }

  /**
   * Writes the copies again if they have changed and this proxy is a gateway of the group.
   *
   * @return whether they have changed, so that the record is no longer the latest one
   */
  boolean keep(RecordedPrimary recorded) {
    if (!dependencies.isGateway().test(group) || !recorded.isConfirmed()) {
      return false;
    }
    LogCopies known = recorded.record().copies();
    boolean synchronous = dependencies.hasSynchronousReplicas(group);
    if (!synchronous && !known.areKept()) {
      return false;
    }
    LogCopies next = synchronous ? update(recorded) : LogCopies.NONE;
    if (next.equals(known)) {
      return false;
    }
    dependencies.sleepRandomly(MAX_START_DELAY);
    if (!dependencies.hasChanged(recorded)) {
      write(recorded, next);
    }
    return dependencies.hasChanged(recorded);
  }

  private LogCopies update(RecordedPrimary recorded) {
    LogCopies known = recorded.record().copies();
    List<LogCopy> listed = statusPoller.listedCopies();
    List<LogCopy> ended = ended(known, listed);
    LogCopies next = known.with(listed);
    if (known.areKept() && ended.isEmpty()) {
      return next;
    }
    return commonEnd(recorded.record())
        .map(end -> next.without(ended::contains).requiring(end))
        .orElse(next);
  }

  /** Returns the copies whose endpoints have started again, or have been gone for long. */
  private List<LogCopy> ended(LogCopies known, List<LogCopy> listed) {
    Instant now = dependencies.clock().instant();
    Map<LogCopy, Instant> absent = new HashMap<>();
    for (LogCopy copy : known.copies()) {
      if (listed.stream().noneMatch(copy::isSameAs)) {
        absent.put(copy, absentSince.getOrDefault(copy, now));
      }
    }
    absentSince = absent;
    return absent.keySet().stream()
        .filter(
            copy ->
                Duration.between(absent.get(copy), now).compareTo(ABSENCE_TIMEOUT) >= 0
                    || listed.stream().anyMatch(next -> next.endpoint().equals(copy.endpoint())))
        .toList();
  }

  /**
   * Returns the end of the primary's log if so many of the listed endpoints have received it as
   * have each acknowledged commit.
   */
  private Optional<Position> commonEnd(PrimaryRecord record) {
    Optional<EndpointEntry> primary = record.primary().flatMap(dependencies::findEndpoint);
    Optional<Position> end =
        primary
            .flatMap(entry -> dependencies.administration().status(entry).toJavaOptional())
            .filter(status -> status.role() == EndpointRole.PRIMARY)
            .filter(status -> status.term().equals(record.term()))
            .map(EndpointStatus::received);
    if (end.isEmpty()) {
      return Optional.empty();
    }
    long receivers =
        statusPoller.pollOthers(primary.get().id()).stream()
            .filter(other -> LogCopies.includes(other.status().received(), end.get()))
            .count();
    return receivers >= dependencies.synchronousReplicas(group) ? end : Optional.empty();
  }

  private void write(RecordedPrimary recorded, LogCopies copies) {
    dependencies
        .write(recorded.record().withCopies(copies), recorded.version())
        .peek(_ -> Logger.info("{}: recorded the copies of the log: {}", group, copies))
        .peekLeft(
            failure ->
                Logger.info("{}: the copies of the log could not be recorded: {}", group, failure));
  }
}

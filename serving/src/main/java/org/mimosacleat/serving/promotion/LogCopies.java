package org.mimosacleat.serving.promotion;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.position.Position;

/**
 * Where the acknowledged commits of a group may be, with synchronous replicas: each one is before
 * {@code required}, or in as many of the copies as there are synchronous replicas. This stands in
 * the shared record, so that no proxy needs to have seen an endpoint that is gone.
 *
 * @param copies the logs that have been part of the group, that of the primary included
 * @param required the position that the log of each further primary must include
 * @param complete whether nobody uses the primary any longer, so that no other log can get an
 *     acknowledged commit
 */
public record LogCopies(Set<LogCopy> copies, Position required, boolean complete) {
  /** Of groups without synchronous replicas. */
  public static final LogCopies NONE = new LogCopies(Set.of(), Position.NONE, false);

  /** Checks the components and copies the set. */
  public LogCopies {
    Checks.notNull("required position", required);
    copies = Set.copyOf(copies);
  }

  /** Returns whether a log includes a position of the same history. */
  static boolean includes(Position log, Position needed) {
    return log.term().compareTo(needed.term()) >= 0 && log.log().compareTo(needed.log()) >= 0;
  }

  /** Returns whether the copies of a group have been recorded. */
  public boolean areKept() {
    return !copies.isEmpty();
  }

  /** Returns the copy of the same endpoint since the same start. */
  Optional<LogCopy> find(LogCopy copy) {
    return copies.stream().filter(copy::isSameAs).findFirst();
  }

  /**
   * Returns these with what listed endpoints say of their copies, and with the copies of those that
   * are new, unless no other log can get an acknowledged commit.
   */
  LogCopies with(List<LogCopy> listed) {
    Set<LogCopy> all = new LinkedHashSet<>();
    for (LogCopy copy : copies) {
      Optional<LogCopy> present = listed.stream().filter(copy::isSameAs).findFirst();
      all.add(present.map(copy::seenAs).orElseGet(() -> copy.succeededBy(listed)));
    }
    if (!complete) {
      listed.stream().filter(copy -> all.stream().noneMatch(copy::isSameAs)).forEach(all::add);
    }
    return new LogCopies(all, required, complete);
  }

  /** Returns what holds whichever of both is the later one. */
  LogCopies and(LogCopies other) {
    Set<LogCopy> all = new LinkedHashSet<>();
    copies.forEach(copy -> all.add(other.find(copy).map(copy::seenAs).orElse(copy)));
    other.copies.stream().filter(copy -> find(copy).isEmpty()).forEach(all::add);
    return new LogCopies(
        all, Position.latest(required, other.required), complete && other.complete);
  }

  /** Returns these without the copies that satisfy a condition. */
  LogCopies without(Predicate<LogCopy> condition) {
    Set<LogCopy> kept = new LinkedHashSet<>(copies);
    kept.removeIf(condition);
    return new LogCopies(kept, required, complete);
  }

  /** Returns these with a required position, unless a later one is required. */
  LogCopies requiring(Position position) {
    return new LogCopies(copies, Position.latest(required, position), complete);
  }

  LogCopies asComplete(boolean nowComplete) {
    return new LogCopies(copies, required, nowComplete);
  }
}
